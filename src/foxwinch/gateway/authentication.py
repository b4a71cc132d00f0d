"""Bearer keys of tenants, known to a node only as hashes."""

import hashlib

from foxwinch.identifiers import TenantName
from foxwinch.outcomes import Reason, Refused, not_run
from foxwinch.settings.cluster import ClusterConfiguration

BEARER_PREFIX = "Bearer "


def hash_key(key: str) -> str:
    """Return the SHA-256 of a key in hexadecimal, as the configuration holds it."""
    return hashlib.sha256(key.encode()).hexdigest()


def authenticate(header: str | None, document: ClusterConfiguration) -> TenantName | Refused:
    """Find the tenant of an `Authorization` header."""
    if header is None or not header.startswith(BEARER_PREFIX):
        return not_run(Reason.UNAUTHENTICATED, "a bearer key is required")
    digest = hash_key(header[len(BEARER_PREFIX) :].strip())
    for tenant in document.tenants:
        if digest in tenant.key_hashes:
            return TenantName(tenant.name)
    return not_run(Reason.UNAUTHENTICATED, "the bearer key is not known")
