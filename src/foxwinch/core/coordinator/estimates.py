"""What the scheduler learns while running: speeds and answer lengths."""

LEARNING_RATE = 0.05
"""Weight of a new observation: follows a change of load within about 20 calls."""
INITIAL_TOKEN_SECONDS = 0.025
"""Time between two tokens of an answer until observed: mid-range of small engines."""
PREFILL_TOKEN_SECONDS = 0.00012
"""Time to compute a prompt token: an 8-billion-parameter model on one mid-range card."""
SEQUENCE_SECONDS = 0.00025
"""What one more sequence in the batch adds to each step."""
INITIAL_TRANSFER_BLOCK_SECONDS = 0.007
"""Time to copy one block until observed: 64 tokens of 128 KiB over 10 Gbit/s."""


class MovingMean:
    """Exponentially weighted mean."""

    def __init__(self, initial: float) -> None:
        """Start from a guess."""
        self.value = initial

    def observe(self, value: float) -> None:
        """Take in an observation."""
        self.value += LEARNING_RATE * (value - self.value)


class Estimates:
    """All that is learned in one pool."""

    def __init__(self) -> None:
        """Start from the initial guesses."""
        self.token_seconds = MovingMean(INITIAL_TOKEN_SECONDS)
        self.transfer_block_seconds = MovingMean(INITIAL_TRANSFER_BLOCK_SECONDS)
        self._answers: dict[str, MovingMean] = {}

    def answer_tokens(self, class_name: str, asked_tokens: int) -> float:
        """Return the expected length of an answer: the class's mean, at most what was asked."""
        mean = self._answers.get(class_name)
        return min(float(asked_tokens), mean.value) if mean else float(asked_tokens)

    def observe_answer(self, class_name: str, tokens: int) -> None:
        """Take in the length of an answer."""
        if class_name not in self._answers:
            self._answers[class_name] = MovingMean(float(tokens))
        self._answers[class_name].observe(float(tokens))

    def observe_call(self, seconds: float, uncached_tokens: int, tokens: int) -> None:
        """Take in the time from dispatch to the last token."""
        if tokens > 1:
            decoding = seconds - uncached_tokens * PREFILL_TOKEN_SECONDS
            self.token_seconds.observe(max(decoding, 0.0) / tokens)

    def call_seconds(self, class_name: str, uncached_tokens: int, asked_tokens: int) -> float:
        """Return the expected time of a call in a batch."""
        answer = self.answer_tokens(class_name, asked_tokens)
        return uncached_tokens * PREFILL_TOKEN_SECONDS + answer * self.token_seconds.value
