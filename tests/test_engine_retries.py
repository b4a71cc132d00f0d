"""A matter that is asked for twice is carried out once, and both who asked are told."""

import pytest

from foxwinch.backends.ports import Completed
from foxwinch.workers.engine_retries import EngineRetries, RetriedKey, RetriedKind
from virtual_clock import VirtualClock

pytestmark = [pytest.mark.looptime]


async def test_second_asker_joins_the_first_and_is_told():
    retries = EngineRetries(VirtualClock())
    key = RetriedKey(RetriedKind.RELEASE, "w", "p")
    runs, told = [], []

    async def release():
        runs.append(1)
        return Completed()

    retries.submit(key, release)
    retries.submit(key, release, lambda: told.append("second"))
    await VirtualClock().sleep(1.0)
    assert (len(runs), told) == (1, ["second"])
    assert not retries.is_pending(key)
