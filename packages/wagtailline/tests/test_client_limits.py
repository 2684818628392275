"""Tests of the reports of limits that clients meet."""

from wagtailline.client_limits import (
    REPORT_PERIOD_SECONDS,
    ClientLimit,
    ClientLimited,
    ClientLimits,
)


class FakeClock:
    def __init__(self) -> None:
        self.now = 0.0

    def monotonic(self) -> float:
        return self.now


def test_crowd_is_counted_in_full_and_logged_at_a_bounded_rate():
    """Guards against a log that a crowd fills, and against a silent one."""
    clock, counted, events = FakeClock(), [], []
    limits = ClientLimits(clock, counted.append, events.append)
    for number in range(5):
        limits.record(ClientLimit.HEAD_SIZE, f'client-{number}')
    limits.record(ClientLimit.CONNECTIONS, 'other')
    clock.now += REPORT_PERIOD_SECONDS
    limits.record(ClientLimit.HEAD_SIZE, 'client-5')
    assert len(counted) == 7
    assert events == [
        ClientLimited(ClientLimit.HEAD_SIZE, 'client-0', 1),
        ClientLimited(ClientLimit.CONNECTIONS, 'other', 1),
        ClientLimited(ClientLimit.HEAD_SIZE, 'client-5', 5),
    ]
