"""Fingerprints of requests, by which repeated requests are recognized.

Callers repeat a request under a new id, at another node, from its start or from the middle of its
stream. What stays the same is what its worker computes on.
"""

import hashlib
from typing import NamedTuple

DIGEST_BYTES = 16


class RequestContent(NamedTuple):
    """The parts of a request that its repetitions have in common.

    The program is included, so that identical requests of two programs are told apart. The
    conversation is not, as a program may repeat a call in a new one.
    """

    method: str
    target: str
    """Path and query."""
    program: str
    previous_turn: str
    affinity: str
    body: bytes


def request_fingerprint(content: RequestContent) -> str:
    """Return the fingerprint of a request in hexadecimal digits."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for text in content[:-1]:
        encoded = text.encode()
        digest.update(len(encoded).to_bytes(4) + encoded)
    digest.update(content.body)
    return digest.hexdigest()
