"""Tests of the memory of requests that crashed upstreams."""

from _fixtures import FakeClock

from wagtailline_sidecar.crash_history import (
    CRASH_MEMORY_SECONDS,
    MAX_REQUESTS,
    CrashHistory,
)

DIGEST = b'digest'


def test_crashes_one_after_the_other_count():
    clock = FakeClock()
    history = CrashHistory(clock)
    for expected in (1, 2, 3):
        clock.now += 1
        assert history.record(DIGEST, ran_seconds=0.5) == expected
    assert history.count(DIGEST) == 3


def test_crashes_that_overlap_count_once():
    """Guards against a lost rack that counts as many crashes of a request."""
    clock = FakeClock()
    history = CrashHistory(clock)
    for _ in range(10):
        clock.now += 0.1
        assert history.record(DIGEST, ran_seconds=5) == 1


def test_answered_request_is_forgotten():
    history = CrashHistory(FakeClock())
    history.record(DIGEST, 0)
    history.forget(DIGEST)
    assert history.count(DIGEST) == 0


def test_request_is_forgotten_after_a_time():
    clock = FakeClock()
    history = CrashHistory(clock)
    history.record(DIGEST, 0)
    clock.now += CRASH_MEMORY_SECONDS + 1
    assert history.count(DIGEST) == 0
    assert history.record(DIGEST, 0) == 1


def test_history_is_empty_again_after_a_time():
    """Guards against keepers that are asked long after the last crash."""
    clock = FakeClock()
    history = CrashHistory(clock)
    assert history.is_empty
    history.record(DIGEST, 0)
    clock.now += CRASH_MEMORY_SECONDS
    history.record(b'later', 0)
    clock.now += 1
    assert not history.is_empty
    clock.now += CRASH_MEMORY_SECONDS
    assert history.is_empty


def test_history_is_bounded_and_keeps_the_latest():
    """Guards against memory that grows with the requests that fail."""
    clock = FakeClock()
    history = CrashHistory(clock)
    for number in range(MAX_REQUESTS + 10):
        clock.now += 1e-6
        history.record(DIGEST, 0)
        history.record(b'%d' % number, 0)
    assert len(history._crashes) == MAX_REQUESTS
    assert history.count(DIGEST)
    assert not history.count(b'0')
