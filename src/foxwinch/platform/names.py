"""The platform's names of headers, tables and fields; used only in this package."""

from typing import Final

REQUEST_ID: Final = "Request-Id"
AFFINITY: Final = "Affinity"
"""Name of the object that a request concerns."""
DEADLINE_MS: Final = "Deadline-Ms"
LAST_EVENT_ID: Final = "Last-Event-Id"
PROGRAM: Final = "Program"
CONVERSATION: Final = "Session"
FINISH_MS: Final = "Finish-Ms"
TOKEN_BUDGET: Final = "Token-Budget"
TOKEN_COUNT: Final = "Token-Count"
LENGTH_HINT: Final = "Length-Hint"
PROMPT_PARTS: Final = "Prompt-Prefix"
PREVIOUS_TURN: Final = "Previous-Turn"
RESUMES: Final = "Resumes"
"""Request id of the attempt that delivered the first event of the stream to resume."""
URGENCY: Final = "Urgency"
EXPECTED_WORKER: Final = "Expect-Instance"
INSTANCE: Final = "Instance"
"""Id of the worker that responds."""
SIGNATURE: Final = "Response-Stamp"
NOT_RUN: Final = "Not-Run"
RETRY_AFTER: Final = "Retry-After"

WORKER_REPORT: Final = "/v1/report"
"""Path of the state that a worker reports of itself."""
WORKER_STARTED_MS: Final = "born"
"""Unix time of a worker's start, in what it reports of itself."""

STORE_TRANSACT: Final = "/v1/rows-tx"
STORE_READ: Final = "/v1/rows-get"
STORE_CHANGES: Final = "/v1/rows-feed"
ROW_TABLE: Final = "table"
ROW_PARTITION: Final = "part"
ROW_KEY: Final = "tls_key"
"""Key of a row; unrelated to TLS."""
ROW_VALUE: Final = "value"
"""Base64 encoded."""
ROW_VERSION: Final = "ver"
"""Version of a row; at the top level of a response, the newest version of the store."""
ROW_REMOVED: Final = "gone"
CONDITIONS: Final = "if_rev"
"""Rows with the versions that a transaction expects."""
WRITES: Final = "put"
REMOVALS: Final = "remove"
ROWS: Final = "rows"
MORE_PAGES: Final = "more"
STORE_CLOCK_MS: Final = "now_ms"
FIRST_KEY: Final = "from"
END_KEY: Final = "target_version"
"""Exclusive end key of a read; not a version."""
PAGE_ROWS: Final = "limit"
AFTER_VERSION: Final = "after"
LONG_POLL_MS: Final = "wait_ms"
"""Long-poll timeout of a call for changes."""

CONFIGURATION_TABLE: Final = "op"
CONFIGURATION_KEY: Final = "config"
WORKERS_TABLE: Final = "servers"

CONNECTION_HEADERS: Final = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
"""Hop-by-hop headers and headers that the HTTP library sets itself, in lower case."""
