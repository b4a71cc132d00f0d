"""The token bucket never admits more than its rate and capacity allow."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxwinch.core.limits.token_bucket import TokenBucket

STEPS = st.lists(st.tuples(st.floats(0, 10), st.floats(0.01, 20)), max_size=50)


@given(rate=st.floats(0.1, 100), capacity=st.floats(1, 100), steps=STEPS)
def test_taken_tokens_stay_within_rate_and_capacity(rate, capacity, steps):
    bucket, now, taken = TokenBucket.full(rate, capacity, 0.0), 0.0, 0.0
    for pause, amount in steps:
        now += pause
        wait = bucket.wait_seconds(amount, now)
        if bucket.try_take(amount, now):
            taken += amount
            assert wait == 0.0
        else:
            assert wait > 0.0
        assert taken <= capacity + rate * now + 1e-6


def test_reservations_queue_one_after_the_other():
    bucket = TokenBucket.full(2.0, 1.0, 0.0)
    assert [bucket.reserve(1.0, 0.0) for _ in range(3)] == [0.0, 0.5, 1.0]


def test_pause_admits_nothing_for_its_duration():
    bucket = TokenBucket.full(10.0, 10.0, 0.0)
    bucket.pause_for(3.0, 0.0)
    assert bucket.wait_seconds(1.0, 0.0) == pytest.approx(3.1)
    assert not bucket.try_take(1.0, 3.0)
    assert bucket.try_take(1.0, 3.1)


def test_charge_may_go_below_zero_and_be_returned():
    bucket = TokenBucket.full(1.0, 5.0, 0.0)
    bucket.charge(8.0, 0.0)
    assert not bucket.try_take(1.0, 3.0)
    bucket.charge(-8.0, 3.0)
    assert bucket.available(3.0) == 5.0
