"""Exit codes of every command; documented in docs/OPERATIONS.md and kept stable."""

from collections.abc import Mapping
from enum import IntEnum

from foxwinch.outcomes import Reason, Refused, RunState


class ExitCode(IntEnum):
    """What a command's exit code says."""

    DONE = 0
    """The command did what was asked."""
    INTERNAL = 1
    """A fault of foxwinch itself."""
    INVALID = 2
    """Wrong usage, settings or configuration; nothing was done."""
    REFUSED = 3
    """Refused by the node for another reason; nothing was done."""
    UNREACHABLE = 4
    """The node could not be reached or did not answer; nothing was done."""
    UNAUTHENTICATED = 5
    """The operator key is missing or not known; nothing was done."""
    CONFLICT = 6
    """Another change came first; read the newer one and try again."""
    NOT_FOUND = 7
    """The thing named does not exist."""
    UNKNOWN = 8
    """The command may have taken effect; ask before giving it again."""
    DIFFERENT = 9
    """`config diff` found differences, or `config status` found nodes behind."""
    DRAIN_CUT_SHORT = 10
    """The node stopped at its drain limit with work still in progress."""
    PROPERTY_BROKEN = 11
    """`fuzz` found a property broken; it prints the seed and the steps."""


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
    ExitCode.INTERNAL: "see the node's log at this time, and report it with those lines",
    ExitCode.INVALID: "correct the named field; `foxwinch settings schema` prints what is allowed",
    ExitCode.REFUSED: "`foxwinch nodes list` shows which nodes take commands, and why not",
    ExitCode.UNREACHABLE: "check --address (a node prints operator_address=), or ask another node",
    ExitCode.UNAUTHENTICATED: "give a known key by FOXWINCH_OPERATOR_KEY or --key-file",
    ExitCode.CONFLICT: "read the newer revision with `foxwinch config get`, and apply again",
    ExitCode.NOT_FOUND: "list what there is with the `list` command beside this one",
    ExitCode.PROPERTY_BROKEN: "run the seed again with --seed and --minutes 0",
    ExitCode.UNKNOWN: "it may have taken effect: look with `list`, `show` or `get` first",
}


def exit_code_of(refused: Refused) -> ExitCode:
    """Return the exit code of a refused command."""
    if refused.run_state is RunState.UNKNOWN:
        return ExitCode.UNKNOWN
    return CODE_OF_REASON.get(refused.reason, ExitCode.REFUSED)
