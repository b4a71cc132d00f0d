"""Properties that must always hold, checked only against what callers and backends observe."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from foxwinch._generated.journal_pb2 import HistoryMessage
from foxwinch.outcomes import RunState


@dataclass(slots=True)
class SentRequest:
    """One request of a program and the outcome that its caller has received."""

    text: str
    """Text of the user message, or argument of the tool call; unique in the run."""
    tool: str = ""
    """Name of the tool; empty for a model call."""
    response: str | None = None
    """The complete response, once the caller has received it."""
    refused: RunState | None = None

    @property
    def ended(self) -> bool:
        """True once the caller has received a response or refusal."""
        return self.response is not None or self.refused is not None


@dataclass(slots=True)
class Oracle:
    """The requests of every program, in the order in which they were sent."""

    programs: dict[str, list[SentRequest]] = field(default_factory=dict)
    newest_revision: dict[str, int] = field(default_factory=dict)
    """The highest configuration revision that each node has reported."""

    def tool_problems(self, runs: Mapping[str, int]) -> list[str]:
        """Check that no tool call ran twice, despite `not_run`, or not at all once acknowledged."""
        problems = []
        for sent in self._all_requests():
            if not sent.tool:
                continue
            count = runs.get(sent.text, 0)
            if count > 1:
                problems.append(f"at most once: {sent.tool} {sent.text} ran {count} times")
            if sent.refused is RunState.NOT_RUN and count:
                problems.append(f"not run is true: {sent.tool} {sent.text} ran")
            if sent.response is not None and not count:
                problems.append(f"whole answer: {sent.tool} {sent.text} was answered but never ran")
        return problems

    def history_problems(self, name: str, history: Sequence[HistoryMessage]) -> list[str]:
        """Check that a history is ordered and complete, without foreign or `not_run` messages."""
        contents = [message.content for message in history]
        counts = Counter(contents)
        problems = []
        last_index = -1
        known: set[str] = set()
        for sent in self.programs[name]:
            known.update(text for text in (sent.text, sent.response) if text is not None)
            shown = sent.response if sent.tool else sent.text
            if sent.response is not None and shown not in counts:
                problems.append(f"history: {name} lost {sent.text}")
            elif sent.response is not None and sent.response not in counts:
                problems.append(f"history: {name} lost the answer to {sent.text}")
            if sent.refused is RunState.NOT_RUN and sent.text in counts:
                problems.append(f"not run is true: {name} holds {sent.text}")
            if counts[sent.text] > 1:
                problems.append(f"history: {name} holds {sent.text} twice")
            if sent.text in counts:
                index = contents.index(sent.text)
                if index < last_index:
                    problems.append(f"order: {name} holds {sent.text} too early")
                last_index = max(last_index, index)
        problems += [
            f"history: {name} holds {text!r}" for text in self._foreign_messages(name, contents)
        ]
        return problems

    def revision_problems(self, node: str, revision: int) -> list[str]:
        """Check that a node never returns to an earlier configuration revision."""
        newest = self.newest_revision.get(node, 0)
        self.newest_revision[node] = max(newest, revision)
        return [f"configuration: {node} went from {newest} to {revision}"] * (revision < newest)

    def _foreign_messages(self, name: str, contents: Iterable[str]) -> list[str]:
        """Return the messages that belong to requests or responses of another program."""
        others = {
            text
            for other, requests in self.programs.items()
            if other != name
            for sent in requests
            for text in (sent.text, sent.response)
            if text is not None and (text == sent.text or not sent.tool)
        }
        return [text for text in contents if text in others]

    def _all_requests(self) -> Iterable[SentRequest]:
        for requests in self.programs.values():
            yield from requests
