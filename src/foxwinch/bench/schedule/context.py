"""Conversation histories as block hashes, which engines cache and policies compare."""

from dataclasses import dataclass

HASHES_PER_SYSTEM_PROMPT = 1_000_000
"""Size of the hash range reserved for one shared system prompt."""
FIRST_CONTEXT_HASH = 1_000_000_000
HASHES_PER_CONTEXT = 10_000
"""Size of the hash range of one program or sub-agent; no history has this many blocks."""


@dataclass(slots=True)
class Context:
    """The history of one program or sub-agent."""

    number: int
    """Unique among programs and sub-agents."""
    block_tokens: int
    shared: tuple[int, ...]
    """Hashes of full blocks inherited from the system prompt or the parent's history."""
    tokens: int

    def hashes(self, tokens: int) -> tuple[int, ...]:
        """Return the hash of each full block of the first `tokens` tokens."""
        full_blocks = tokens // self.block_tokens
        if full_blocks <= len(self.shared):
            return self.shared[:full_blocks]
        start = FIRST_CONTEXT_HASH + self.number * HASHES_PER_CONTEXT
        return self.shared + tuple(range(start + len(self.shared), start + full_blocks))

    def fork(self, number: int) -> "Context":
        """Return the history of a sub-agent that starts from this one."""
        return Context(number, self.block_tokens, self.hashes(self.tokens), self.tokens)


def system_context(number: int, prefix: int, tokens: int, block_tokens: int) -> Context:
    """Return the history of a new program, which contains only its system prompt."""
    first = HASHES_PER_SYSTEM_PROMPT * prefix
    shared = tuple(range(first, first + tokens // block_tokens))
    return Context(number, block_tokens, shared, tokens)
