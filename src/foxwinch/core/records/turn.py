"""One turn of a conversation as it is stored: immutable, found by its own request id."""

from dataclasses import dataclass

from foxwinch._generated.records_pb2 import TurnMessage


@dataclass(frozen=True, slots=True)
class Turn:
    """Input and output of a turn, and the turns that it goes on from."""

    request_id: str
    ancestors: tuple[str, ...]
    """Request ids of the earlier turns of its chain, oldest first."""
    input: bytes
    output: bytes
    """The data of each event with a line feed behind."""
    kept_until_ms: int
    """On the store's clock; after it the turn may be removed."""

    def encode(self) -> bytes:
        """Return the turn as it is stored."""
        return TurnMessage(
            ancestors=self.ancestors,
            input=self.input,
            output=self.output,
            kept_until_ms=self.kept_until_ms,
        ).SerializeToString()

    @classmethod
    def decode(cls, request_id: str, value: bytes) -> "Turn":
        """Read a stored turn; raises `DecodeError` when it is none."""
        message = TurnMessage.FromString(value)
        return cls(
            request_id,
            tuple(message.ancestors),
            message.input,
            message.output,
            message.kept_until_ms,
        )


def prompt_of(chain: tuple[Turn, ...], new_input: bytes) -> bytes:
    """Return what a worker reads: each turn's input and output, oldest first, and the new input."""
    parts: list[bytes] = []
    for turn in chain:
        parts += (turn.input, turn.output)
    parts.append(new_input)
    return b"".join(parts)


def output_of(event_data: list[bytes]) -> bytes:
    """Return the output of a turn from the data of its events."""
    return b"".join(data + b"\n" for data in event_data)
