"""Authentication of operators by bearer keys, of which a node stores only hashes."""

import hmac
from collections.abc import Mapping, Sequence

from foxwinch.gateway.authentication import BEARER_PREFIX, hash_key
from foxwinch.outcomes import Reason, Refused, not_run

AUTHORIZATION_KEY = "authorization"


def check_operator_key(metadata: Mapping[str, object], key_hashes: Sequence[str]) -> Refused | None:
    """Return a refusal, or None if the request carries a valid operator key."""
    header = str(metadata.get(AUTHORIZATION_KEY, ""))
    if not header.startswith(BEARER_PREFIX):
        return not_run(Reason.UNAUTHENTICATED, "missing bearer key of an operator")
    digest = hash_key(header[len(BEARER_PREFIX) :].strip())
    if any(hmac.compare_digest(digest, known) for known in key_hashes):
        return None
    return not_run(Reason.UNAUTHENTICATED, "unknown operator key")
