"""What a node knows of crashes: which events may take a loss away."""

import random

import pytest

from foxwinch.core.records.crash_history import RETENTION_MS, Crash, CrashHistory, Doubt
from foxwinch.records import crash_table
from foxwinch.records.crash_table import CrashTable

EARLIER = Doubt("w1", 1_000, 1_500, sent_ms=900)
LATER = Doubt("w1", 3_000, 3_500, sent_ms=2_900)


class Times:
    """A clock of the store that a test sets."""

    now_ms = 0


@pytest.fixture
def times():
    return Times()


@pytest.fixture
def table(times):
    return CrashTable(lambda: times.now_ms, lambda fingerprint: False)


# Guards against a doubt that nobody resolved and that then does not count any more (BUDGET).
def test_a_doubt_that_is_not_stored_counts_as_long_as_losses_are_kept(table, times):
    table.add_doubt("f", EARLIER)
    times.now_ms = EARLIER.lost_ms + RETENTION_MS - 1
    table.drop_expired_doubts()
    assert table.history_of("f").doubts == (EARLIER,)
    times.now_ms += 1
    table.drop_expired_doubts()
    assert table.is_empty


# Guards against a worker whose other loss is forgotten with the response to one of its sends.
@pytest.mark.parametrize(("answered", "other"), [(EARLIER, LATER), (LATER, EARLIER)])
def test_a_response_to_a_send_leaves_the_doubts_of_the_others(table, answered, other):
    table.add_doubt("f", EARLIER)
    assert table.add_doubt("f", LATER)
    table.forget_doubt("f", answered)
    assert table.history_of("f").doubts == (other,)
    table.forget_doubt("f", other)
    assert table.is_empty


# Guards against the same for a crash under another send, stored by another node.
def test_a_response_to_a_send_leaves_the_crash_under_another_one():
    crash = Crash("w1", 3_000, sent_ms=LATER.sent_ms)
    history = CrashHistory().with_doubt(EARLIER, "").with_crash(crash, "")
    assert history.without(EARLIER).crashes == (crash,)
    assert history.without(LATER).crashes == ()


# Guards against a crash known by a notice that the removal of an older row takes away.
def test_the_removal_of_a_row_leaves_a_crash_that_is_not_stored(table):
    table.adopt("f", CrashHistory(), 5, 5)
    table.add_crash("f", Crash("w1", 2_000))
    table.adopt("f", None, 6, 6)
    assert table.history_of("f").weight == 1


# Guards against counts that are evicted because many other requests lost a worker.
def test_the_histories_with_the_fewest_losses_are_evicted_first(table, monkeypatch):
    monkeypatch.setattr(crash_table, "MAX_HISTORIES", 50)
    monkeypatch.setattr(crash_table, "EVICTED_HISTORIES", 5)
    for worker in ("w1", "w2"):
        table.add_crash("f", Crash(worker, 2_000))
    for number in range(200):
        table.add_crash(f"f{number}", Crash("w1", 2_000))
    assert table.history_of("f").weight == 2
    assert len(table.fingerprints()) <= 50


WORKERS = 4
STEPS = 60
END_PROBABILITY = 0.3


class Events:
    """Random events of one request at one node, some of whose workers end under it."""

    def __init__(self, table, times, seed):
        self._table = table
        self._times = times
        self._rng = random.Random(seed)
        self._sends = []
        self._stored = CrashHistory()
        self._version = 0
        self.ended = set()
        """The workers that have ended."""

    def happen(self):
        """Let a random event happen some time after the last one."""
        self._times.now_ms += self._rng.randint(1, 4_000)
        events = (self._lose, self._respond, self._store, self._adopt, self._expire)
        self._rng.choice(events)()

    def _lose(self):
        worker = f"w{self._rng.randrange(WORKERS)}"
        if worker in self.ended:
            return
        now_ms = self._times.now_ms
        doubt = Doubt(worker, now_ms, now_ms + self._rng.randint(0, 3_000), sent_ms=now_ms)
        self._sends.append(doubt)
        if self._rng.random() < END_PROBABILITY:
            self.ended.add(worker)
        if worker in self.ended and self._rng.random() < 0.5:
            self._table.add_crash("f", Crash(worker, now_ms, sent_ms=now_ms))
        else:
            self._table.add_doubt("f", doubt)

    def _respond(self):
        """Let a worker respond late to one of its sends; it lives on or ended under a later one."""
        if not self._sends:
            return
        answered = self._rng.choice(self._sends)
        of_worker = [each.lost_ms for each in self._sends if each.worker == answered.worker]
        if answered.worker not in self.ended or answered.lost_ms < max(of_worker):
            self._table.forget_doubt("f", answered)
            self._stored = self._stored.without(answered)

    def _store(self):
        self._stored = self._table.history_of("f")

    def _adopt(self):
        """Adopt the stored row, which may lack what only this node knows."""
        self._version += 1
        row = None if self._stored == CrashHistory() else self._stored
        self._table.adopt("f", row, self._version, self._version)

    def _expire(self):
        self._table.drop_expired_doubts()


# Guards against any order of events after which a worker that has ended counts no more.
@pytest.mark.parametrize("seed", range(200))
def test_ended_workers_count_after_any_order_of_events(table, times, seed):
    events = Events(table, times, seed)
    for _ in range(STEPS):
        events.happen()
        assert events.ended <= {each.worker for each in table.history_of("f").losses}
