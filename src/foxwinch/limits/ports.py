"""Interface of the rate limits for the other components of a node."""

from dataclasses import dataclass
from typing import Protocol

from foxwinch.identifiers import ClassName, TenantName
from foxwinch.outcomes import Refused


@dataclass(frozen=True, slots=True)
class Admitted:
    """A call that has been admitted and charged to its limits."""

    tenant: TenantName
    estimated_tokens: int


class LimitView(Protocol):
    """Cluster-wide rate limits of tenants and classes."""

    def admit(
        self, tenant: TenantName, class_name: ClassName, estimated_tokens: int
    ) -> Admitted | Refused:
        """Charge one request and its estimated tokens to this node's shares, or refuse it."""
        ...

    def settle(self, admitted: Admitted, used_tokens: int) -> None:
        """Correct the estimated tokens of an admitted call by the actual usage."""
        ...
