"""Tests of `foxwinch explain` on logs in the format that nodes write."""

import pytest

from foxwinch.cli.exit_codes import ExitCode
from foxwinch.cli.explain import ExplainCommand, lines_for_request, parse_log

FIRST_LOG = [
    'at=WARNING when=100.5 event=store_lost table=op reason=store_unavailable detail="no answer"',
    "at=INFO when=101.0 event=request_ended request=r1 outcome=store_store_unavailable took_ms=900",
    "at=INFO when=101.1 event=request_ended request=r2 outcome=answered took_ms=9",
    "at=INFO when=200.0 event=store_regained table=op away_ms=99500",
    "a line without an event",
]
SECOND_LOG = [
    "at=INFO when=102.0 event=worker_chosen request=r1 worker=w1 cost=0.1",
    "at=INFO when=102.2 event=request_ended request=r1 outcome=answered took_ms=200",
    "at=WARNING when=102.1 event=store_lost table=op reason=x",
]


def test_lines_of_a_request_include_dependency_events_of_its_nodes():
    lines = [*parse_log("a", FIRST_LOG), *parse_log("b", SECOND_LOG)]
    found = [(line.source, line.event) for line in lines_for_request("r1", lines)]
    assert found == [
        ("a", "store_lost"),
        ("a", "request_ended"),
        ("b", "worker_chosen"),
        ("b", "store_lost"),
        ("b", "request_ended"),
    ]


def test_dependency_events_of_other_nodes_are_excluded():
    lines = [*parse_log("a", FIRST_LOG), *parse_log("b", SECOND_LOG)]
    assert {line.source for line in lines_for_request("r2", lines)} == {"a"}


def test_quoted_values_keep_spaces():
    (lost,) = [line for line in parse_log("a", FIRST_LOG) if line.event == "store_lost"]
    assert lost.fields["detail"] == "no answer"


def test_command_prints_log_lines_of_the_request(tmp_path, capsys):
    log = tmp_path / "front-1.log"
    log.write_text("\n".join(FIRST_LOG))
    ExplainCommand(request_id="r2", logs=[log])()
    assert "front-1.log: at=INFO when=101.1" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("request_id", "name", "code"),
    [("r9", "front-1.log", ExitCode.NOT_FOUND), ("r1", "missing.log", ExitCode.INVALID)],
)
def test_unknown_request_and_missing_log_have_their_exit_codes(tmp_path, request_id, name, code):
    (tmp_path / "front-1.log").write_text("\n".join(FIRST_LOG))
    with pytest.raises(SystemExit) as raised:
        ExplainCommand(request_id=request_id, logs=[tmp_path / name])()
    assert raised.value.code == code
