"""Unit costs are measured and consistent with their parameters."""

from foxwinch.bench.unit_costs import append_cost, query_cost, share_cost


def test_unit_costs_are_consistent_with_their_parameters() -> None:
    append = append_cost(200, appends=20)
    assert append.row_bytes > 200
    assert append.processor_seconds > 0
    share = share_cost(nodes=3, tenants=200)
    assert share.digest_bytes <= 400
    query = query_cost(nodes=3, workers=2)
    assert query.workers == 6
    assert query.answer_bytes > 0
