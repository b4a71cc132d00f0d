"""Authenticate tenants by bearer keys, of which a node has only the hashes."""

import hashlib
from dataclasses import dataclass

from foxwinch.configuration.ports import ConfigurationSnapshot, ConfigurationView
from foxwinch.identifiers import Revision, TenantName
from foxwinch.outcomes import Reason, Refused, not_run
from foxwinch.settings.cluster import ClusterConfiguration

BEARER_PREFIX = "Bearer "


def hash_key(key: str) -> str:
    """Return the hexadecimal SHA-256 of a key, as listed in the configuration."""
    return hashlib.sha256(key.encode()).hexdigest()


@dataclass(frozen=True, slots=True)
class Caller:
    """An authenticated caller, and the configuration against which its request is validated."""

    tenant: TenantName
    document: ClusterConfiguration


class Authenticator:
    """Finds tenants by their keys, which are indexed once per configuration revision."""

    def __init__(self, configuration: ConfigurationView) -> None:
        """Look up keys in the configuration that is active at each request."""
        self._configuration = configuration
        self._revision: Revision | None = None
        self._tenants: dict[str, TenantName] = {}

    def authenticate(self, header: str | None) -> Caller | Refused:
        """Return the caller of a request with this `Authorization` header."""
        snapshot = self._configuration.current()
        if isinstance(snapshot, Refused):
            return snapshot
        if header is None or not header.startswith(BEARER_PREFIX):
            return not_run(Reason.UNAUTHENTICATED, "a bearer key is required")
        if snapshot.revision != self._revision:
            self._index(snapshot)
        tenant = self._tenants.get(hash_key(header[len(BEARER_PREFIX) :].strip()))
        if tenant is None:
            return not_run(Reason.UNAUTHENTICATED, "the bearer key is not known")
        return Caller(tenant, snapshot.document)

    def _index(self, snapshot: ConfigurationSnapshot) -> None:
        self._revision = snapshot.revision
        self._tenants = {
            digest: TenantName(tenant.name)
            for tenant in snapshot.document.tenants
            for digest in tenant.key_hashes
        }
