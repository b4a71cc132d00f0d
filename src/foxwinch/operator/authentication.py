"""Bearer keys of operators, known to a node only as hashes."""

import hmac
from collections.abc import Mapping, Sequence

from foxwinch.gateway.authentication import BEARER_PREFIX, hash_key
from foxwinch.outcomes import Reason, Refused, not_run

AUTHORIZATION_KEY = "authorization"


def check_operator_key(metadata: Mapping[str, object], key_hashes: Sequence[str]) -> Refused | None:
    """Return why a request is refused, or None when it carries an operator's key."""
    header = str(metadata.get(AUTHORIZATION_KEY, ""))
    if not header.startswith(BEARER_PREFIX):
        return not_run(Reason.UNAUTHENTICATED, "an operator's bearer key is required")
    digest = hash_key(header[len(BEARER_PREFIX) :].strip())
    if any(hmac.compare_digest(digest, known) for known in key_hashes):
        return None
    return not_run(Reason.UNAUTHENTICATED, "the operator key is not known")
