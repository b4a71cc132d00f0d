"""Online estimates of engine speed and answer length."""

LEARNING_RATE = 0.05
"""Weight of a new observation, which adapts to a load change within about 20 calls."""
INITIAL_TOKEN_SECONDS = 0.025
"""Initial estimate of the time between two answer tokens, in the mid-range of small engines."""
PREFILL_TOKEN_SECONDS = 0.00012
"""Prefill time per prompt token of an 8-billion-parameter model on one mid-range GPU."""
SEQUENCE_SECONDS = 0.00025
"""Time that each additional sequence in the batch adds to a step."""
INITIAL_TRANSFER_BLOCK_SECONDS = 0.007
"""Initial estimate of the time to copy one block: 64 tokens of 128 KiB over 10 Gbit/s."""


class MovingMean:
    """Exponentially weighted mean."""

    def __init__(self, initial: float) -> None:
        self.value = initial

    def observe(self, value: float) -> None:
        """Update the mean with an observation."""
        self.value += LEARNING_RATE * (value - self.value)


class Estimates:
    """Estimates of one pool."""

    def __init__(self) -> None:
        self.token_seconds = MovingMean(INITIAL_TOKEN_SECONDS)
        self.transfer_block_seconds = MovingMean(INITIAL_TRANSFER_BLOCK_SECONDS)
        self._answers: dict[str, MovingMean] = {}

    def answer_tokens(self, class_name: str, requested_tokens: int) -> float:
        """Return the expected length of an answer: the mean of the class, capped at the request."""
        mean = self._answers.get(class_name)
        return min(float(requested_tokens), mean.value) if mean else float(requested_tokens)

    def observe_answer(self, class_name: str, tokens: int) -> None:
        """Record the length of an answer."""
        if class_name not in self._answers:
            self._answers[class_name] = MovingMean(float(tokens))
        self._answers[class_name].observe(float(tokens))

    def observe_call(self, seconds: float, uncached_tokens: int, tokens: int) -> None:
        """Record the time from dispatch to the last token."""
        if tokens > 1:
            decode_seconds = seconds - uncached_tokens * PREFILL_TOKEN_SECONDS
            self.token_seconds.observe(max(decode_seconds, 0.0) / tokens)

    def call_seconds(self, class_name: str, uncached_tokens: int, requested_tokens: int) -> float:
        """Return the expected duration of a call in a batch, in seconds."""
        answer = self.answer_tokens(class_name, requested_tokens)
        return uncached_tokens * PREFILL_TOKEN_SECONDS + answer * self.token_seconds.value
