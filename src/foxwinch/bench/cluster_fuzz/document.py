"""The cluster configuration of fuzzed clusters."""

from foxwinch.settings.cluster import (
    BudgetSettings,
    ClassSettings,
    ClusterConfiguration,
    ModelSettings,
    PoolSettings,
    TemplateSettings,
    TenantSettings,
    ToolSettings,
    WorkerSettings,
)

REGION = "region"
ZONES = ("zone-a", "zone-b", "zone-c")
TENANT = "tenant"
MODEL = "chat"
REPEATABLE_TOOL = "timetable"
ONCE_TOOL = "session-log"
ENGINES = ("llm-1", "llm-2", "llm-3")
LONG, SHORT = "long", "short"
SHORT_CALLS = 3
"""Calls that a program of the template `short` may make."""
TOOL_TIMEOUT_SECONDS = 4.0


def document(rate: int = 1000) -> ClusterConfiguration:
    """Return the document; `rate` is the tenant's rate limit, which identifies a change."""
    tools = (REPEATABLE_TOOL, ONCE_TOOL)
    engines = tuple(
        WorkerSettings(name=name, pool="llm", zone=zone, url=f"http://127.0.0.1:1/{name}")
        for name, zone in zip(ENGINES, ZONES, strict=True)
    )
    return ClusterConfiguration(
        deployment="fuzz",
        region=REGION,
        zones=ZONES,
        tenants=(TenantSettings(name=TENANT, requests_per_second=rate, tokens_per_second=1e9),),
        classes=(ClassSettings(name="class", rank=0, deadline_seconds=60.0),),
        models=(ModelSettings(name=MODEL),),
        pools=(
            PoolSettings(name="llm", kind="engine", models=(MODEL,)),
            PoolSettings(name="tools", kind="tool"),
        ),
        workers=engines,
        tools=(
            ToolSettings(
                name=REPEATABLE_TOOL,
                pool="tools",
                repeatable=True,
                timeout_seconds=TOOL_TIMEOUT_SECONDS,
            ),
            ToolSettings(
                name=ONCE_TOOL, pool="tools", repeatable=False, timeout_seconds=TOOL_TIMEOUT_SECONDS
            ),
        ),
        templates=(
            TemplateSettings(name=LONG, class_name="class", models=(MODEL,), tools=tools),
            TemplateSettings(
                name=SHORT,
                class_name="class",
                models=(MODEL,),
                tools=tools,
                budget=BudgetSettings(calls=SHORT_CALLS),
            ),
        ),
        default_template=LONG,
    )
