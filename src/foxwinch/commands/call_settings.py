"""Look up the settings of a program and its calls in the cluster configuration."""

from dataclasses import dataclass

from foxwinch._generated.journal_pb2 import ProgramBudget, ProgramCreated
from foxwinch.commands.model_call import ModelCallSettings
from foxwinch.commands.tool_call import ToolCallSettings
from foxwinch.core.program.state import Program
from foxwinch.identifiers import ClassName, ProgramId, TenantName
from foxwinch.outcomes import Reason, Refused, not_run
from foxwinch.settings.cluster import ClusterConfiguration, TemplateSettings


@dataclass(frozen=True, slots=True)
class ToolDeclaration:
    """A tool that a program may call."""

    settings: ToolCallSettings
    repeatable: bool


def find_template(
    document: ClusterConfiguration, tenant: TenantName, name: str
) -> TemplateSettings | Refused:
    """Return a template, or a refusal if the tenant may not use it."""
    template = next((t for t in document.templates if t.name == name), None)
    if template is None:
        allowed = ", ".join(t.name for t in document.templates)
        return not_run(
            Reason.INVALID_REQUEST, f"template = {name!r}: not known; allowed: {allowed}"
        )
    tenant_settings = next((t for t in document.tenants if t.name == tenant), None)
    if (
        tenant_settings is not None
        and tenant_settings.classes
        and template.class_name not in tenant_settings.classes
    ):
        return not_run(
            Reason.INVALID_REQUEST,
            f"template = {name!r}: the tenant may not use its class {template.class_name!r}",
        )
    return template


def creation_record(
    template: TemplateSettings,
    tenant: TenantName,
    program_id: ProgramId,
    now_seconds: float,
    parent: Program | None = None,
) -> ProgramCreated:
    """Return the creation record of a new program; `now_seconds` is wall time."""
    budget = template.budget
    return ProgramCreated(
        program_id=program_id,
        tenant=tenant,
        template=template.name,
        class_name=template.class_name,
        parent_program_id=parent.program_id if parent is not None else "",
        depth=parent.created.depth + 1 if parent is not None else 0,
        created_at_seconds=now_seconds,
        budget=ProgramBudget(
            tokens=budget.tokens,
            calls=budget.calls,
            depth=budget.depth,
            wall_seconds=budget.wall_seconds,
            cost=budget.cost,
            repeated_calls=budget.repeated_calls,
        ),
        idle_seconds=template.idle_seconds,
    )


def model_call_settings(
    document: ClusterConfiguration, program: Program, model: str
) -> ModelCallSettings | Refused:
    """Return the settings of a model call, or a refusal if the template does not list the model."""
    template = _template_of(document, program)
    if isinstance(template, Refused):
        return template
    if model not in template.models:
        allowed = ", ".join(template.models)
        return not_run(
            Reason.INVALID_REQUEST,
            f"model = {model!r}: not allowed by template {template.name!r}; allowed: {allowed}",
        )
    class_name = program.created.class_name
    deadline = next(
        (c.deadline_seconds for c in document.classes if c.name == class_name),
        program.created.budget.wall_seconds,
    )
    return ModelCallSettings(ClassName(class_name), deadline, document.cost_per_token)


def tool_declaration(
    document: ClusterConfiguration, program: Program, tool: str
) -> ToolDeclaration | Refused:
    """Return the declaration of a tool, or a refusal if the template does not list it."""
    template = _template_of(document, program)
    if isinstance(template, Refused):
        return template
    tool_settings = next((t for t in document.tools if t.name == tool), None)
    if tool_settings is None or tool not in template.tools:
        allowed = ", ".join(template.tools) or "none"
        return not_run(
            Reason.INVALID_REQUEST,
            f"tool = {tool!r}: not allowed by template {template.name!r}; allowed: {allowed}",
        )
    class_name = ClassName(program.created.class_name)
    settings = ToolCallSettings(
        class_name, tool_settings.timeout_seconds, document.cost_per_tool_call
    )
    return ToolDeclaration(settings, tool_settings.repeatable)


def _template_of(document: ClusterConfiguration, program: Program) -> TemplateSettings | Refused:
    name = program.created.template
    template = next((t for t in document.templates if t.name == name), None)
    if template is None:
        return not_run(
            Reason.INVALID_REQUEST, f"template {name!r} is no longer in the configuration"
        )
    return template
