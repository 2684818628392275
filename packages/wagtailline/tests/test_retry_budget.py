"""Tests of the retry budget, as of any window that may be looked at."""

import pytest

from wagtailline.routing import RetryBudget

WINDOW_SECONDS = 10


class FakeClock:
    now = 100.0

    def monotonic(self) -> float:
        return self.now


def count_most(times: list[float]) -> int:
    """Return the largest number of times in any window."""
    return max(
        sum(start <= at <= start + WINDOW_SECONDS for at in times)
        for start in times
    )


@pytest.mark.parametrize('phase', [0, 0.25, 0.5, 0.75, 0.95])
def test_failures_late_in_a_second_do_not_double_the_budget(phase):
    """Guards against twice the budget in a window that begins in mid-second.

    Many calls that run then fail at once.
    """
    clock = FakeClock()
    budget = RetryBudget(clock, 0.1, 0, WINDOW_SECONDS)
    retries: list[float] = []
    for step in range(4000):
        clock.now = 100 + step / 100
        budget.record_call()
        while clock.now >= 112 + phase and budget.try_acquire():
            retries.append(clock.now)
    # 100 calls a second; a tenth of those in a window.
    assert 80 < count_most(retries) <= 100
