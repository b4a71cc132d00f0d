"""`foxwinch explain` over logs as nodes write them."""

import pytest

from foxwinch.cli.exit_codes import ExitCode
from foxwinch.cli.explain import ExplainCommand, lines_of, parse

FIRST = [
    'at=WARNING when=100.5 event=store_lost table=op reason=store_unavailable detail="no answer"',
    "at=INFO when=101.0 event=request_ended request=r1 outcome=store_store_unavailable took_ms=900",
    "at=INFO when=101.1 event=request_ended request=r2 outcome=answered took_ms=9",
    "at=INFO when=200.0 event=store_regained table=op away_ms=99500",
    "a line that is no event",
]
SECOND = [
    "at=INFO when=102.0 event=worker_chosen request=r1 worker=w1 cost=0.1",
    "at=INFO when=102.2 event=request_ended request=r1 outcome=answered took_ms=200",
    "at=WARNING when=102.1 event=store_lost table=op reason=x",
]


def test_a_request_is_followed_over_its_nodes_with_what_they_had_lost():
    lines = [*parse("a", FIRST), *parse("b", SECOND)]
    found = [(line.source, line.event) for line in lines_of("r1", lines)]
    assert found == [
        ("a", "store_lost"),
        ("a", "request_ended"),
        ("b", "worker_chosen"),
        ("b", "store_lost"),
        ("b", "request_ended"),
    ]


def test_other_nodes_dependencies_are_left_out():
    lines = [*parse("a", FIRST), *parse("b", SECOND)]
    assert {line.source for line in lines_of("r2", lines)} == {"a"}


def test_quoted_values_are_read_whole():
    (lost,) = [line for line in parse("a", FIRST) if line.event == "store_lost"]
    assert lost.pairs["detail"] == "no answer"


def test_the_command_prints_the_lines(tmp_path, capsys):
    log = tmp_path / "front-1.log"
    log.write_text("\n".join(FIRST))
    ExplainCommand(request_id="r2", logs=[log])()
    assert "front-1.log: at=INFO when=101.1" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("request_id", "name", "code"),
    [("r9", "front-1.log", ExitCode.NOT_FOUND), ("r1", "missing.log", ExitCode.INVALID)],
)
def test_what_cannot_be_explained_is_said(tmp_path, request_id, name, code):
    (tmp_path / "front-1.log").write_text("\n".join(FIRST))
    with pytest.raises(SystemExit) as ended:
        ExplainCommand(request_id=request_id, logs=[tmp_path / name])()
    assert ended.value.code == code
