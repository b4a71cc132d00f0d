"""Bounds of the peer protocol; each keeps a faulty or hostile peer from costing memory."""

PROTOCOL_VERSION = 1
MINIMUM_PROTOCOL_VERSION = 1

DATAGRAM_BYTES = 1_200
"""Largest datagram: fits the 1,280-byte minimum MTU of IPv6 with its headers."""
FRAME_BYTES = 8 * 1024 * 1024
"""Largest frame: a journal segment of one history (4 MiB) with room to spare."""
HELLO_FRAME_BYTES = 1_024
"""Largest frame before the hello, so that strangers cannot make a node buffer megabytes."""
HELLO_SECONDS = 3.0
"""A connection on which no hello has arrived for so long is closed."""
CONNECT_SECONDS = 3.0
"""Longest wait for a connection; a link between regions takes tens of milliseconds."""
RECONNECT_PAUSE_SECONDS = 0.1
"""After a failed connect, calls are refused at once for so long in place of a connect storm."""
PENDING_REQUESTS = 1_024
"""Requests without an answer on one connection, on either side; more are refused."""
INBOUND_CONNECTIONS = 2_048
"""Connections from other nodes; a region has fewer nodes than that."""
STREAM_CREDIT = 64
"""Answers of a stream on their way or waiting at the asker."""
WRITE_BUFFER_BYTES = 1024 * 1024
"""Bytes waiting for the socket at which senders have to wait."""
PING_SECONDS = 2.0
"""A connection with open requests on which nothing arrived for so long is asked for life."""
SILENCE_SECONDS = 6.0
"""A connection with open requests on which nothing arrived for so long is given up."""
IDLE_SECONDS = 120.0
"""The asking side closes a connection that was not used for so long."""
INBOUND_SILENCE_SECONDS = 300.0
"""The serving side closes a connection on which nothing arrived for so long."""
