"""A stored conversation turn: immutable and keyed by its request id."""

from dataclasses import dataclass

from foxwinch._generated.records_pb2 import TurnMessage


@dataclass(frozen=True, slots=True)
class Turn:
    """Input and output of a turn, with the ids of the turns before it."""

    request_id: str
    ancestors: tuple[str, ...]
    """Request ids of the earlier turns of the conversation, oldest first."""
    input: bytes
    output: bytes
    """Data of all events, each followed by a line feed."""
    kept_until_ms: int
    """End of retention on the store's clock."""

    def encode(self) -> bytes:
        """Return the stored form of the turn."""
        return TurnMessage(
            ancestors=self.ancestors,
            input=self.input,
            output=self.output,
            kept_until_ms=self.kept_until_ms,
        ).SerializeToString()

    @classmethod
    def decode(cls, request_id: str, value: bytes) -> "Turn":
        """Decode a stored turn; raise `DecodeError` if it is malformed."""
        message = TurnMessage.FromString(value)
        return cls(
            request_id,
            tuple(message.ancestors),
            message.input,
            message.output,
            message.kept_until_ms,
        )


def build_prompt(chain: tuple[Turn, ...], new_input: bytes) -> bytes:
    """Return the prompt: input and output of each turn, oldest first, then the new input."""
    parts: list[bytes] = []
    for turn in chain:
        parts += (turn.input, turn.output)
    parts.append(new_input)
    return b"".join(parts)


def join_output(event_data: list[bytes]) -> bytes:
    """Return the output of a turn, assembled from its events' data."""
    return b"".join(data + b"\n" for data in event_data)
