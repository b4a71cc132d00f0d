"""Exit codes of all commands, a stable interface documented in docs/OPERATIONS.md."""

from collections.abc import Mapping
from enum import IntEnum

from foxwinch.outcomes import Reason, Refused, RunState


class ExitCode(IntEnum):
    """Exit code of a command."""

    DONE = 0
    """The command succeeded."""
    INTERNAL = 1
    """Internal error of foxwinch."""
    INVALID = 2
    """Invalid usage, settings or configuration; nothing was changed."""
    REFUSED = 3
    """The node refused the command for another reason; nothing was changed."""
    UNREACHABLE = 4
    """The node was unreachable or did not respond in time; nothing was changed."""
    UNAUTHENTICATED = 5
    """The operator key is missing or unknown; nothing was changed."""
    CONFLICT = 6
    """A concurrent change was accepted first; read the newer revision and retry."""
    NOT_FOUND = 7
    """The named resource does not exist."""
    UNKNOWN = 8
    """The command may have taken effect; query the state before retrying."""
    DIFFERENT = 9
    """`config diff` found differences, or `config status` found outdated or unresponsive nodes."""
    DRAIN_CUT_SHORT = 10
    """The node stopped at its drain timeout with work still in progress."""
    PROPERTY_BROKEN = 11
    """`fuzz` found a property violation; it prints the seed and the steps."""


CODE_OF_REASON: Mapping[Reason, ExitCode] = {
    Reason.INVALID_REQUEST: ExitCode.INVALID,
    Reason.UNAUTHENTICATED: ExitCode.UNAUTHENTICATED,
    Reason.CONFLICT: ExitCode.CONFLICT,
    Reason.NOT_FOUND: ExitCode.NOT_FOUND,
    Reason.PEER_UNREACHABLE: ExitCode.UNREACHABLE,
    Reason.DEADLINE: ExitCode.UNREACHABLE,
    Reason.INTERNAL: ExitCode.INTERNAL,
}
NEXT_STEP: Mapping[ExitCode, str] = {
    ExitCode.INTERNAL: "check the node's log at this time and include these lines in a bug report",
    ExitCode.INVALID: "correct the named field; `foxwinch settings schema` lists valid values",
    ExitCode.REFUSED: "`foxwinch nodes list` shows which nodes accept commands, with reasons",
    ExitCode.UNREACHABLE: "check --address (a node prints operator_address=), or try another node",
    ExitCode.UNAUTHENTICATED: "set FOXWINCH_OPERATOR_KEY or --key-file to a known operator key",
    ExitCode.CONFLICT: "read the newer revision with `foxwinch config get` and reapply the change",
    ExitCode.NOT_FOUND: "show the existing names with the `list` command of the same group",
    ExitCode.PROPERTY_BROKEN: "reproduce the failure with --seed and --minutes 0",
    ExitCode.UNKNOWN: "check with `list`, `show` or `get` whether it took effect before retrying",
}


def exit_code_of(refused: Refused) -> ExitCode:
    """Return the exit code for a refused command."""
    if refused.run_state is RunState.UNKNOWN:
        return ExitCode.UNKNOWN
    return CODE_OF_REASON.get(refused.reason, ExitCode.REFUSED)
