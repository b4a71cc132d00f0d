"""The platform's names for headers, tables and fields; nothing outside this folder knows them."""

from typing import Final

REQUEST_ID: Final = "Request-Id"
DEADLINE_MS: Final = "Deadline-Ms"
LAST_EVENT_ID: Final = "Last-Event-Id"
PROGRAM: Final = "Program"
LINE: Final = "Session"
FINISH_MS: Final = "Finish-Ms"
BUDGET: Final = "Token-Budget"
TOKENS: Final = "Token-Count"
LENGTH_HINT: Final = "Length-Hint"
PROMPT_PARTS: Final = "Prompt-Prefix"
PREVIOUS_TURN: Final = "Previous-Turn"
URGENCY: Final = "Urgency"
EXPECTED_WORKER: Final = "Expect-Instance"
SIGNATURE: Final = "Response-Stamp"
NOT_RUN: Final = "Not-Run"
RETRY_AFTER: Final = "Retry-After"

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
"""Headers that concern one connection, or that the HTTP library sets itself; in lower case."""
