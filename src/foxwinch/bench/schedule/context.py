"""Histories as block hashes: what the engines cache and the policies compare."""

from dataclasses import dataclass

PREFIX_HASHES = 1_000_000
"""Hashes set aside for one shared system prompt."""
FIRST_OWN_HASH = 1_000_000_000
OWN_HASHES = 10_000
"""Hashes set aside for one program or sub-agent: more than any history has blocks."""


@dataclass(slots=True)
class Context:
    """The history of one program or sub-agent."""

    number: int
    """Unique among programs and sub-agents."""
    block_tokens: int
    shared: tuple[int, ...]
    """Hashes of whole blocks taken over from the system prompt or the parent's history."""
    tokens: int

    def hashes(self, tokens: int) -> tuple[int, ...]:
        """Return the hash of each whole block of the first `tokens` tokens."""
        whole = tokens // self.block_tokens
        if whole <= len(self.shared):
            return self.shared[:whole]
        start = FIRST_OWN_HASH + self.number * OWN_HASHES
        return self.shared + tuple(range(start + len(self.shared), start + whole))

    def fork(self, number: int) -> "Context":
        """Return the history of a sub-agent that starts from this one."""
        return Context(number, self.block_tokens, self.hashes(self.tokens), self.tokens)


def system_context(number: int, prefix: int, tokens: int, block_tokens: int) -> Context:
    """Return the history of a new program: its system prompt."""
    first = PREFIX_HASHES * prefix
    shared = tuple(range(first, first + tokens // block_tokens))
    return Context(number, block_tokens, shared, tokens)
