"""Encoding and decoding of an engine's load report in Prometheus text format."""

from collections.abc import Callable

from prometheus_client.parser import text_string_to_metric_families

from foxwinch.backends.ports import LoadReport
from foxwinch.identifiers import ModelName

RUNNING = "engine_requests_running"
WAITING = "engine_requests_waiting"
CACHE_USED = "engine_cache_blocks_used"
CACHE_TOTAL = "engine_cache_blocks_total"
LEAVING = "engine_leaving"
MODEL_LOADED = "engine_model_loaded"


def encode_load(report: LoadReport) -> str:
    """Return a load report in Prometheus text format."""
    values = {
        RUNNING: report.running,
        WAITING: report.waiting,
        CACHE_USED: report.cache_blocks_used,
        CACHE_TOTAL: report.cache_blocks_total,
        LEAVING: int(report.leaving),
    }
    lines = [f"# TYPE {name} gauge\n{name} {value}" for name, value in values.items()]
    lines.append(f"# TYPE {MODEL_LOADED} gauge")
    lines += [f'{MODEL_LOADED}{{model="{model}"}} 1' for model in report.models]
    return "\n".join(lines) + "\n"


def decode_load(text: str) -> LoadReport | None:
    """Return the load report, or None if the text is malformed or lacks a required metric."""
    values: dict[str, float] = {}
    models: list[ModelName] = []
    try:
        for family in text_string_to_metric_families(text):
            for sample in family.samples:
                if sample.name == MODEL_LOADED and sample.value:
                    models.append(ModelName(sample.labels["model"]))
                else:
                    values[sample.name] = sample.value
        return _report(lambda name: int(values[name]), tuple(models))
    except (ValueError, KeyError, OverflowError, IndexError, AttributeError):
        return None


def _report(value: Callable[[str], int], models: tuple[ModelName, ...]) -> LoadReport:
    return LoadReport(
        running=value(RUNNING),
        waiting=value(WAITING),
        cache_blocks_used=value(CACHE_USED),
        cache_blocks_total=value(CACHE_TOTAL),
        models=models,
        leaving=bool(value(LEAVING)),
    )
