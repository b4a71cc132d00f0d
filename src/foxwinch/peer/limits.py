"""Versions, limits and timeouts of the peer protocol.

The limits bound the memory that a faulty or hostile peer can use.
"""

PROTOCOL_VERSION = 1
MIN_PROTOCOL_VERSION = 1

MAX_DATAGRAM_BYTES = 1_200
"""Largest datagram; with its headers it fits into the 1,280-byte minimum MTU of IPv6."""
MAX_FRAME_BYTES = 8 * 1024 * 1024
"""Largest frame, sufficient for a journal segment of one history (4 MiB)."""
MAX_HELLO_FRAME_BYTES = 1_024
"""Largest frame before a valid hello, so that unknown clients cannot make a node buffer
megabytes."""
HELLO_TIMEOUT_SECONDS = 3.0
"""Time after which a connection without a hello is closed."""
CONNECT_TIMEOUT_SECONDS = 3.0
"""Connect timeout; a connection between regions takes tens of milliseconds."""
RECONNECT_PAUSE_SECONDS = 0.1
"""Time after a failed connection attempt during which calls are refused immediately, which
prevents connection storms."""
MAX_PENDING_REQUESTS = 1_024
"""Maximum number of in-flight requests on one connection, on either side; more are refused."""
MAX_INBOUND_CONNECTIONS = 2_048
"""Maximum number of connections from other nodes; a region has fewer nodes."""
STREAM_CREDIT = 64
"""Maximum number of responses of a stream that are in flight or queued at the client."""
WRITE_BUFFER_BYTES = 1024 * 1024
"""Number of outgoing bytes buffered on a connection above which senders must wait."""
PING_SECONDS = 2.0
"""Idle time after which a connection with in-flight requests is pinged."""
SILENCE_TIMEOUT_SECONDS = 6.0
"""Time without received data after which a connection with in-flight requests is aborted."""
IDLE_TIMEOUT_SECONDS = 120.0
"""Time without requests after which the client side closes a connection."""
INBOUND_IDLE_TIMEOUT_SECONDS = 300.0
"""Time without received data after which the server side closes a connection."""
