"""Conversion between grants and their protobuf messages."""

from foxwinch._generated.steward_pb2 import GrantAsk, GrantGiven, SettledCall
from foxwinch.identifiers import (
    CallId,
    ClassName,
    Epoch,
    ModelName,
    ProgramId,
    TenantName,
    WorkerId,
)
from foxwinch.workers.ports import Grant, GrantRequest, GrantUsage

ACQUIRE_METHOD = "steward.acquire"
REPORT_METHOD = "steward.report"
DESCRIBE_METHOD = "steward.describe"
ORDER_METHOD = "steward.order"


def ask_message(
    request: GrantRequest, now: float, waited_seconds: float, sequence: int
) -> GrantAsk:
    """Return the message for a grant request, with the deadline as remaining time."""
    return GrantAsk(
        call_id=request.call_id,
        program_id=request.program_id,
        tenant=request.tenant,
        class_name=request.class_name,
        model=request.model,
        prompt_tokens=request.prompt_tokens,
        output_tokens=request.output_tokens,
        prefix_hashes=request.prefix_hashes,
        service_seconds=request.service_seconds,
        remaining_seconds=max(0.0, request.deadline_at_seconds - now),
        repeatable=request.repeatable,
        waited_seconds=waited_seconds,
        sequence=sequence,
    )


def request_of(ask: GrantAsk, now: float) -> GrantRequest:
    """Return the request of a message, with the deadline on the clock of this node."""
    return GrantRequest(
        call_id=CallId(ask.call_id),
        program_id=ProgramId(ask.program_id),
        tenant=TenantName(ask.tenant),
        class_name=ClassName(ask.class_name),
        model=ModelName(ask.model),
        prompt_tokens=ask.prompt_tokens,
        output_tokens=ask.output_tokens,
        prefix_hashes=tuple(ask.prefix_hashes),
        service_seconds=ask.service_seconds,
        deadline_at_seconds=now + ask.remaining_seconds,
        repeatable=ask.repeatable,
    )


def grant_of(given: GrantGiven, waited_seconds: float) -> Grant:
    """Return the grant of a message; `waited_seconds` is the wait measured by the owner."""
    return Grant(
        call_id=CallId(given.call_id),
        worker=WorkerId(given.worker),
        worker_url=given.worker_url,
        epoch=Epoch(given.epoch),
        priority=given.priority,
        expected_cached_tokens=given.expected_cached_tokens,
        waited_seconds=waited_seconds,
        reason=given.reason,
    )


def settled_message(grant: Grant, usage: GrantUsage, sequence: int) -> SettledCall:
    """Return the message that ends a grant."""
    return SettledCall(
        call_id=grant.call_id,
        worker=grant.worker,
        prompt_tokens=usage.prompt_tokens,
        cached_tokens=usage.cached_tokens,
        completion_tokens=usage.completion_tokens,
        failed=usage.failed,
        not_run=usage.not_run,
        sequence=sequence,
        fenced=usage.fenced,
    )


def usage_of(settled: SettledCall) -> GrantUsage:
    """Return the usage reported by a message."""
    return GrantUsage(
        call_id=CallId(settled.call_id),
        prompt_tokens=settled.prompt_tokens,
        cached_tokens=settled.cached_tokens,
        completion_tokens=settled.completion_tokens,
        failed=settled.failed,
        not_run=settled.not_run,
        fenced=settled.fenced,
    )
