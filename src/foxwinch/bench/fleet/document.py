"""The cluster configuration of the fleet, and changes of it."""

import random

from foxwinch.core.configuration.document import Delta, DocumentState, entries_of, state_of
from foxwinch.settings.cluster import (
    ClassSettings,
    ClusterConfiguration,
    ModelSettings,
    PoolSettings,
    TemplateSettings,
    TenantSettings,
)

TENANTS = 200
"""Fewer than the design size's 7,800, so that 570 documents fit one process; the cost of a change
at 7,800 is measured apart, at one node."""
MODELS = 9


def document_of(tenants: int) -> ClusterConfiguration:
    """Return a document with so many tenants."""
    return ClusterConfiguration(
        deployment="fleet",
        region="region-0",
        zones=("zone-0",),
        tenants=tuple(TenantSettings(name=f"tenant-{index}") for index in range(tenants)),
        classes=(ClassSettings(name="interactive", rank=0, deadline_seconds=60),),
        models=tuple(ModelSettings(name=f"model-{index}") for index in range(MODELS)),
        pools=(PoolSettings(name="engines", kind="engine", models=("model-0",)),),
        templates=(TemplateSettings(name="chat", class_name="interactive", models=("model-0",)),),
        default_template="chat",
    )


def state_with(tenants: int) -> DocumentState:
    """Return the checked state of a document with so many tenants."""
    state = state_of(entries_of(document_of(tenants)))
    assert isinstance(state, DocumentState), state
    return state


def fleet_document() -> DocumentState:
    """Return the document that the fleet starts with."""
    return state_with(TENANTS)


def tenant_change(draw: random.Random, tenants: int = TENANTS) -> Delta:
    """Return the change of one tenant's limit."""
    name = f"tenant-{draw.randrange(tenants)}"
    changed = TenantSettings(name=name, requests_per_second=round(draw.uniform(1, 1000), 3))
    entries = entries_of(document_of(0).model_copy(update={"tenants": (changed,)}))
    key = f"tenants/{name}"
    return Delta({key: entries[key]})
