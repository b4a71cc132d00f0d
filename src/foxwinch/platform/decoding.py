"""Decoding of texts that other processes sent: the outcome is a value or `Malformed`.

Everything that a worker, the store or a caller sends is decoded here or in the models of
`documents.py`, so that no text of another process can fail in a way that the callers of these
functions do not expect.
"""

import json
import math
from enum import Enum
from typing import Any, Final

MAX_DIGITS = 18
"""Maximum length of a whole number; a longer one does not fit into 64 bits."""
MAX_NUMBER = 1e15
"""Maximum size of other numbers. Times in milliseconds and sizes in bytes are smaller."""


class Malformed(Enum):
    """The outcome of decoding a text that cannot be read."""

    MALFORMED = "malformed"


MALFORMED: Final = Malformed.MALFORMED


def decode_json(raw: bytes) -> Any | Malformed:
    """Decode a JSON document of any depth and with numbers of any length."""
    try:
        return json.loads(raw)
    except (ValueError, RecursionError):
        return MALFORMED


def decode_whole_number(text: str) -> int | Malformed:
    """Decode a whole number of at most `MAX_DIGITS` digits."""
    digits = text.removeprefix("-")
    if not digits.isascii() or not digits.isdigit() or len(digits) > MAX_DIGITS:
        return MALFORMED
    return int(text)


def decode_number(text: str) -> float | Malformed:
    """Decode a finite number of at most `MAX_NUMBER`."""
    try:
        number = float(text)
    except ValueError:
        return MALFORMED
    return number if math.isfinite(number) and abs(number) <= MAX_NUMBER else MALFORMED


def is_utf8(text: str) -> bool:
    """Return whether a text was sent as UTF-8, so that it can be sent on unchanged."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
