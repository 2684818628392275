"""Choice of an endpoint."""

from collections import Counter
from random import Random

from _fixtures import FakeClock, make_endpoint, make_route, make_snapshot

from wagtailline.ports import Address
from wagtailline_sidecar.selection import (
    MAX_HOLD_OFF_SECONDS,
    Distance,
    Selector,
)

NEAR = make_endpoint('near', address=Address('10.0.0.1', 80))
NEXT = make_endpoint('next', address=Address('10.0.0.2', 80))
FAR = make_endpoint(
    'far', address=Address('10.0.1.1', 80), data_centre='oslo-b'
)
ROUTE = make_route()


def make_selector(clock=None) -> Selector:
    return Selector(clock or FakeClock(), Random(1), 'oslo-a', Distance())


def choose(selector, snapshot, tried=frozenset(), route=ROUTE):
    target = route.target_seconds
    endpoint = selector.choose(snapshot, route, 'desk', tried, target)
    return endpoint and endpoint.identity


def test_own_data_centre_first():
    """Guards against bytes between data centres without need."""
    selector = make_selector()
    snapshot = make_snapshot(NEAR, FAR)
    assert {choose(selector, snapshot) for _ in range(20)} == {'near'}


def test_spills_over_when_the_wait_is_long():
    """Guards against a queue at home while another data centre is free."""
    selector = make_selector()
    selector.note_answer(NEAR, ROUTE, 0.15, 0, True)
    selector.note_wait(NEAR, 2.0)
    assert choose(selector, make_snapshot(NEAR, FAR)) == 'far'


def test_leaving_endpoints_and_closed_data_centres_get_nothing():
    """Guards against new work for what is being emptied."""
    selector = make_selector()
    leaving = NEAR._replace(is_ready=False)
    snapshot = make_snapshot(leaving, FAR, closed=frozenset({'oslo-b'}))
    assert choose(selector, snapshot) is None


def test_unreachable_endpoint_is_held_off_and_tried_again():
    """Guards against requests that wait for a VM that is gone."""
    clock = FakeClock()
    selector = make_selector(clock)
    snapshot = make_snapshot(NEAR, FAR)
    for _ in range(10):
        selector.note_failure(NEAR)
    assert choose(selector, snapshot) == 'far'
    clock.now += MAX_HOLD_OFF_SECONDS + 0.1
    assert choose(selector, snapshot) == 'near'


def test_last_endpoint_is_used_in_spite_of_a_hold_off():
    """Guards against a refusal while one endpoint may answer."""
    selector = make_selector()
    selector.note_failure(NEAR)
    assert choose(selector, make_snapshot(NEAR)) == 'near'


def test_slow_endpoint_gets_less():
    """Guards against an equal split over endpoints of unequal speed."""
    selector = make_selector()
    for _ in range(100):
        selector.note_answer(NEAR, ROUTE, 0.1, 0, True)
        selector.note_answer(NEXT, ROUTE, 0.4, 0, True)
    snapshot = make_snapshot(NEAR, NEXT)
    chosen = Counter(choose(selector, snapshot) for _ in range(20))
    assert chosen['near'] == 20


def test_outstanding_requests_count():
    """Guards against a fast endpoint that gets every request at once."""
    selector = make_selector()
    snapshot = make_snapshot(NEAR, NEXT)
    chosen = Counter()
    for _ in range(40):
        endpoint = selector.choose(snapshot, ROUTE, 'desk', frozenset(), 0.5)
        selector.note_sent(endpoint)
        chosen[endpoint.identity] += 1
    assert min(chosen.values()) >= 15


def test_endpoint_that_fails_a_part_gets_less():
    """Guards against an endpoint that fails fast and so looks fast."""
    selector = make_selector()
    for _ in range(40):
        selector.note_answer(NEAR, ROUTE, 0.1, 0, True)
        selector.note_answer(NEXT, ROUTE, 0.01, 0, False)
    assert choose(selector, make_snapshot(NEAR, NEXT)) == 'near'


def test_large_answers_stay_at_home():
    """Guards against downloads that cross for a small gain."""
    selector = make_selector()
    selector.note_size(ROUTE, 90_000)
    selector.note_answer(NEAR, ROUTE, 0.15, 0, True)
    selector.note_wait(NEAR, 2.0)
    assert choose(selector, make_snapshot(NEAR, FAR)) == 'near'


def test_slow_endpoint_at_home_is_left_when_the_target_is_at_risk():
    """Guards against answers behind the target while others are faster.

    The previous version weighed seconds against kilobytes whatever the
    target was, and stayed at home here.
    """
    selector = make_selector()
    selector.note_size(ROUTE, 3_000)
    for _ in range(100):
        selector.note_answer(NEAR, ROUTE, 0.35, 0, True)
        selector.note_answer(FAR, ROUTE, 0.15, 0, True)
    assert choose(selector, make_snapshot(NEAR, FAR)) == 'far'


def test_slow_endpoint_at_home_is_used_while_the_target_is_met():
    """Guards against bytes between data centres that save nobody a wait."""
    selector = make_selector()
    selector.note_size(ROUTE, 1_000)
    for _ in range(100):
        selector.note_answer(NEAR, ROUTE, 0.1, 0, True)
        selector.note_answer(FAR, ROUTE, 0.05, 0, True)
    assert choose(selector, make_snapshot(NEAR, FAR)) == 'near'


def test_endpoint_that_fails_a_part_as_fast_as_others_gets_less():
    """Guards against an endpoint that looks as good as one without faults."""
    selector = make_selector()
    for _ in range(40):
        selector.note_answer(NEAR, ROUTE, 0.1, 0, True)
        selector.note_answer(NEXT, ROUTE, 0.1, 0, True)
    for _ in range(10):
        selector.note_answer(NEXT, ROUTE, 0.1, 0, False)
    snapshot = make_snapshot(NEXT, NEAR)
    assert {choose(selector, snapshot) for _ in range(20)} == {'near'}
