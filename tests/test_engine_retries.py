"""Tests that operations submitted twice run once and notify both submitters."""

import pytest

from foxwinch.backends.ports import Completed
from foxwinch.workers.engine_retries import EngineRetries, OperationKey, OperationKind
from virtual_clock import VirtualClock

pytestmark = [pytest.mark.looptime]


async def test_second_submitter_shares_execution_and_is_notified():
    retries = EngineRetries(VirtualClock())
    key = OperationKey(OperationKind.RELEASE, "w", "p")
    runs, notified = [], []

    async def release():
        runs.append(1)
        return Completed()

    retries.submit(key, release)
    retries.submit(key, release, lambda: notified.append("second"))
    await VirtualClock().sleep(1.0)
    assert (len(runs), notified) == (1, ["second"])
    assert not retries.is_pending(key)
