"""Crash histories: which losses count, and how doubts end."""

import pytest

from foxwinch.core.records.crash_history import (
    COMMON_CAUSE_MS,
    MAX_CRASHES,
    RETENTION_MS,
    Crash,
    CrashHistory,
    Doubt,
    SendClaim,
)

DOUBT = Doubt("w1", 1_000, 1_500)


def test_doubts_count_like_crashes_and_each_worker_once():
    history = CrashHistory().with_crash(Crash("w0", 900), "").with_doubt(DOUBT, "")
    assert history.with_doubt(Doubt("w2", 1_100, 1_100), "").weight == MAX_CRASHES
    assert history.with_doubt(Doubt("w0", 1_100, 1_100), "").weight == 2
    assert history.with_crash(Crash("w1", 2_000), "").losses == [
        Crash("w0", 900),
        Crash("w1", 2_000),
    ]


# Guards against a doubt that is forgotten together with the node that had to resolve it, and
# against a worker that counts as ended, or as outlived its send, because time has passed (BUDGET).
def test_no_time_ends_a_doubt_while_losses_are_kept():
    history = CrashHistory().with_doubt(DOUBT, "")
    for now_ms in (DOUBT.lost_ms, DOUBT.ends_ms, DOUBT.lost_ms + RETENTION_MS - 1):
        assert history.current(now_ms) == history
        assert history.current(now_ms).living_workers == {"w1"}
    assert history.current(DOUBT.lost_ms + RETENTION_MS) == CrashHistory()
    assert history.without(DOUBT) == CrashHistory()


# Guards against a further worker that ends, as it is taken for one that has lost the request.
def test_only_workers_that_have_lost_the_request_and_live_may_get_it_again():
    history = CrashHistory().with_doubt(DOUBT, "")
    presumed = Doubt("w2", 1_000, 1_500, sent_ms=900, is_presumed=True)
    history = history.with_doubt(presumed, "")
    assert history.weight == 2
    assert history.living_workers == {"w1"}
    assert history.with_doubt(Doubt("w2", 1_100, 1_500, sent_ms=900), "").living_workers == {
        "w1",
        "w2",
    }
    assert history.with_crash(Crash("w1", 1_200), "").living_workers == set()


# Guards against refusing a request of many callers after one event ended all of its workers.
def test_losses_of_overlapping_unsuspected_sends_do_not_stop_a_request():
    history = CrashHistory()
    for number in range(8):
        history = history.with_crash(Crash(f"w{number}", 1_000 + 100 * number, False), "")
        assert history.weight == min(number + 1, MAX_CRASHES - 1)
    assert history.cause_count == 1
    # Guards against a fourth worker under a request whose first sends overlapped (BUDGET).
    assert history.with_crash(Crash("w8", 1_200), "").weight == MAX_CRASHES
    later_ms = 1_000 + COMMON_CAUSE_MS + 1
    assert history.with_doubt(Doubt("w8", later_ms, later_ms, False), "").weight == MAX_CRASHES


# Guards against two ends that count as one, as the worker was back under its id (BUDGET).
def test_a_send_after_a_loss_counts_by_itself_and_one_before_does_not():
    history = CrashHistory().with_crash(Crash("w0", 1_000, sent_ms=900), "")
    assert history.with_crash(Crash("w0", 1_100, sent_ms=950), "").weight == 1
    assert history.with_crash(Crash("w0", 1_100, sent_ms=1_001), "").weight == 2
    assert history.with_doubt(Doubt("w0", 1_100, 1_200, sent_ms=1_001), "").weight == 2


@pytest.mark.parametrize("loss", [Crash("w1", 5), Doubt("w1", 5, 6)])
def test_a_loss_releases_the_claim_of_its_holder_only(loss):
    claim = SendClaim("n1/r1", "w1", 10)
    history = CrashHistory(claim=claim)
    add = history.with_crash if isinstance(loss, Crash) else history.with_doubt
    assert add(loss, "n1/r1").claim is None
    assert add(loss, "n2/r1").claim == claim
    # Guards against a late crash that frees the claim of the same request's next send.
    other = CrashHistory(claim=SendClaim("n1/r1", "w9", 10))
    add_other = other.with_crash if isinstance(loss, Crash) else other.with_doubt
    assert add_other(loss, "n1/r1").claim == other.claim


def test_the_stored_form_keeps_all_fields():
    history = CrashHistory(
        (Crash("w0", 1, False), Crash("w1", 2)),
        SendClaim("n/r", "w2", 9),
        (DOUBT, DOUBT._replace(is_presumed=True)),
    )
    assert CrashHistory.decode(history.encode()) == history
    assert CrashHistory().encode() == b""
