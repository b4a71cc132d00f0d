"""The whole input of a turn: what the caller sent, after the turns that the node keeps."""

from dataclasses import dataclass

from foxwinch.core.records.turn import Turn, prompt_of
from foxwinch.outcomes import Refused
from foxwinch.records.turns import NoSuchTurn, TurnRecords
from foxwinch.serving.attempts import Attempts


@dataclass(frozen=True, slots=True)
class Prompt:
    """What a worker reads, and the turns that it goes on from."""

    body: bytes
    chain: tuple[Turn, ...] = ()

    @property
    def ancestors(self) -> tuple[str, ...]:
        """Return the request ids of the chain, oldest first."""
        return tuple(turn.request_id for turn in self.chain)


async def load_prompt(
    turns: TurnRecords, attempts: Attempts, deadline_at: float
) -> Prompt | NoSuchTurn | Refused:
    """Read the history of a turn on a route that retains it."""
    request = attempts.request
    if not attempts.route.retained or request.previous_turn is None:
        return Prompt(request.body)
    chain = await turns.chain(request.previous_turn, deadline_at)
    if isinstance(chain, NoSuchTurn | Refused):
        return chain
    return Prompt(prompt_of(chain, request.body), chain)
