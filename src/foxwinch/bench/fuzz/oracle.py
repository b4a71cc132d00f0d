"""What must always hold, told only from what callers were told and what back ends saw."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from foxwinch._generated.journal_pb2 import HistoryMessage
from foxwinch.outcomes import RunState


@dataclass(slots=True)
class Sent:
    """One request of a program, with what its caller has been told so far."""

    text: str
    """Text of the user's message, or the one argument of the tool; unique in the run."""
    tool: str = ""
    """Empty: a model call."""
    answer: str | None = None
    """The whole answer, once the caller has it."""
    refused: RunState | None = None

    @property
    def ended(self) -> bool:
        """Tell whether the caller has its last event."""
        return self.answer is not None or self.refused is not None


@dataclass(slots=True)
class Oracle:
    """Every program with its requests in the order in which they were sent."""

    programs: dict[str, list[Sent]] = field(default_factory=dict)
    newest_revision: dict[str, int] = field(default_factory=dict)
    """By node: the newest revision that it served under."""

    def tool_problems(self, runs: Mapping[str, int]) -> list[str]:
        """Check tools: at most once, `not_run` true, acknowledged ones ran."""
        problems = []
        for sent in self._all():
            if not sent.tool:
                continue
            count = runs.get(sent.text, 0)
            if count > 1:
                problems.append(f"at most once: {sent.tool} {sent.text} ran {count} times")
            if sent.refused is RunState.NOT_RUN and count:
                problems.append(f"not run is true: {sent.tool} {sent.text} ran")
            if sent.answer is not None and not count:
                problems.append(f"whole answer: {sent.tool} {sent.text} was answered but never ran")
        return problems

    def history_problems(self, name: str, history: Sequence[HistoryMessage]) -> list[str]:
        """Check one history: in order, nothing lost, nothing mixed, `not_run` true."""
        contents = [message.content for message in history]
        places = Counter(contents)
        problems = []
        position = -1
        known: set[str] = set()
        for sent in self.programs[name]:
            known.update(text for text in (sent.text, sent.answer) if text is not None)
            shown = sent.answer if sent.tool else sent.text
            if sent.answer is not None and shown not in places:
                problems.append(f"history: {name} lost {sent.text}")
            elif sent.answer is not None and sent.answer not in places:
                problems.append(f"history: {name} lost the answer to {sent.text}")
            if sent.refused is RunState.NOT_RUN and sent.text in places:
                problems.append(f"not run is true: {name} holds {sent.text}")
            if places[sent.text] > 1:
                problems.append(f"history: {name} holds {sent.text} twice")
            if sent.text in places:
                place = contents.index(sent.text)
                if place < position:
                    problems.append(f"order: {name} holds {sent.text} too early")
                position = max(position, place)
        problems += [f"history: {name} holds {text!r}" for text in self._foreign(name, contents)]
        return problems

    def revision_problems(self, node: str, revision: int) -> list[str]:
        """Check that a node never goes back."""
        newest = self.newest_revision.get(node, 0)
        self.newest_revision[node] = max(newest, revision)
        return [f"configuration: {node} went from {newest} to {revision}"] * (revision < newest)

    def _foreign(self, name: str, contents: Iterable[str]) -> list[str]:
        """Return messages that were sent to another program, or were answered to another."""
        others = {
            text
            for other, requests in self.programs.items()
            if other != name
            for sent in requests
            for text in (sent.text, sent.answer)
            if text is not None and (text == sent.text or not sent.tool)
        }
        return [text for text in contents if text in others]

    def _all(self) -> Iterable[Sent]:
        for requests in self.programs.values():
            yield from requests
