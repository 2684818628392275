"""Tests of the memory of endpoints that have said that they leave."""

from _fixtures import FakeClock, make_endpoint, make_snapshot

from wagtailline_sidecar.leaving_endpoints import (
    RETENTION_SECONDS,
    LeavingEndpoints,
)


def test_endpoint_that_is_listed_as_ready_still_leaves():
    """Guards against a leaving that an older entry undoes (DRAIN)."""
    clock = FakeClock()
    leaving = LeavingEndpoints(clock)
    endpoint = make_endpoint()
    assert leaving.add(endpoint)
    for _ in range(5):
        clock.now += RETENTION_SECONDS
        leaving.drop_unlisted(make_snapshot(endpoint))
    assert endpoint in leaving
    assert not leaving.add(endpoint)


def test_entry_that_lapses_does_not_undo_a_leaving():
    """Guards against an entry that is back after an outage of the source."""
    clock = FakeClock()
    leaving = LeavingEndpoints(clock)
    leaving.add(make_endpoint())
    clock.now += RETENTION_SECONDS / 2
    leaving.drop_unlisted(make_snapshot())
    assert make_endpoint() in leaving


def test_new_incarnation_does_not_leave():
    """Guards against an endpoint that gets nothing after it was replaced."""
    leaving = LeavingEndpoints(FakeClock())
    leaving.add(make_endpoint(started_ms=1))
    assert make_endpoint(started_ms=2) not in leaving
    assert make_endpoint('e2') not in leaving


def test_endpoints_that_are_gone_are_dropped():
    """Guards against a memory that grows with each replaced endpoint."""
    clock = FakeClock()
    leaving = LeavingEndpoints(clock)
    leaving.add(make_endpoint())
    clock.now += RETENTION_SECONDS + 1
    leaving.drop_unlisted(make_snapshot())
    assert make_endpoint() not in leaving
