"""The full prompt of a turn: the stored history followed by the caller's input."""

from dataclasses import dataclass

from foxwinch.core.records.turn import Turn, build_prompt
from foxwinch.outcomes import Refused
from foxwinch.records.turns import NoSuchTurn, TurnRecords
from foxwinch.serving.attempt_state import Attempts


@dataclass(frozen=True, slots=True)
class Prompt:
    """The request body for a worker and the stored turns that it contains."""

    body: bytes
    chain: tuple[Turn, ...] = ()

    @property
    def ancestors(self) -> tuple[str, ...]:
        """Return the request ids of the stored turns, oldest first."""
        return tuple(turn.request_id for turn in self.chain)


async def load_prompt(
    turns: TurnRecords, attempts: Attempts, store_deadline_at: float
) -> Prompt | NoSuchTurn | Refused:
    """Return the prompt of a turn, with its stored history if the route retains turns."""
    request = attempts.request
    if not attempts.route.retained or request.previous_turn is None:
        return Prompt(request.body)
    chain = await turns.chain(request.previous_turn, store_deadline_at)
    if isinstance(chain, NoSuchTurn | Refused):
        return chain
    return Prompt(build_prompt(chain, request.body), chain)
