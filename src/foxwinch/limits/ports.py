"""What other parts of a node ask of the limits of tenants and classes."""

from dataclasses import dataclass
from typing import Protocol

from foxwinch.identifiers import ClassName, TenantName
from foxwinch.outcomes import Refused


@dataclass(frozen=True, slots=True)
class Admitted:
    """The tenant's limits allow the call."""

    tenant: TenantName
    estimated_tokens: int


class LimitView(Protocol):
    """Limits of tenants and classes across all nodes."""

    def admit(
        self, tenant: TenantName, class_name: ClassName, estimated_tokens: int
    ) -> Admitted | Refused:
        """Take one request and its estimated tokens from the tenant's share, or refuse."""
        ...

    def settle(self, admitted: Admitted, used_tokens: int) -> None:
        """Correct the estimate by what was used."""
        ...
