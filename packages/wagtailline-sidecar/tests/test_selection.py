"""Tests of endpoint selection."""

from collections import Counter
from random import Random

import pytest
from _fixtures import FakeClock, make_endpoint, make_route, make_snapshot

from wagtailline.ports import Address
from wagtailline_sidecar.endpoint_statistics import MAX_HOLD_OFF_SECONDS
from wagtailline_sidecar.selection import MAX_CANDIDATES, RemoteCost, Selector
from wagtailline_sidecar.upstream_notices import (
    RateLimitAbsent,
    UpstreamNotice,
)

LOCAL = make_endpoint('near', address=Address('10.0.0.1', 80))
OTHER_LOCAL = make_endpoint('next', address=Address('10.0.0.2', 80))
REMOTE = make_endpoint(
    'far', address=Address('10.0.1.1', 80), data_centre='oslo-b'
)
ROUTE = make_route()


def make_selector(clock=None) -> Selector:
    return Selector(clock or FakeClock(), Random(1), 'oslo-a', RemoteCost())


def choose(selector, snapshot, tried=frozenset(), route=ROUTE):
    target = route.target_seconds
    endpoint = selector.choose(snapshot, route, 'desk', tried, target)
    return endpoint and endpoint.identity


def test_local_data_centre_is_preferred():
    """Guards against unnecessary traffic between data centres."""
    selector = make_selector()
    snapshot = make_snapshot(LOCAL, REMOTE)
    assert {choose(selector, snapshot) for _ in range(20)} == {'near'}


def test_long_queue_spills_over_to_another_data_centre():
    """Guards against a long local queue while another data centre is idle."""
    selector = make_selector()
    selector.record_response(LOCAL, ROUTE, 0.15, 0, True)
    selector.record_wait(LOCAL, 2.0)
    assert choose(selector, make_snapshot(LOCAL, REMOTE)) == 'far'


def test_draining_endpoints_and_closed_data_centres_are_excluded():
    """Guards against new requests to draining endpoints."""
    selector = make_selector()
    draining = LOCAL._replace(is_ready=False)
    snapshot = make_snapshot(draining, REMOTE, closed=frozenset({'oslo-b'}))
    assert choose(selector, snapshot) is None


def test_unreachable_endpoint_is_held_off_and_retried():
    """Guards against requests sent to a VM that has failed."""
    clock = FakeClock()
    selector = make_selector(clock)
    snapshot = make_snapshot(LOCAL, REMOTE)
    for _ in range(10):
        selector.record_failure(LOCAL)
    assert choose(selector, snapshot) == 'far'
    clock.now += MAX_HOLD_OFF_SECONDS + 0.1
    assert choose(selector, snapshot) == 'near'


def test_only_endpoint_is_used_despite_a_hold_off():
    """Guards against a refusal while one endpoint might respond."""
    selector = make_selector()
    selector.record_failure(LOCAL)
    assert choose(selector, make_snapshot(LOCAL)) == 'near'


def test_slow_endpoint_gets_fewer_requests():
    """Guards against an equal split over endpoints of different latency."""
    selector = make_selector()
    for _ in range(100):
        selector.record_response(LOCAL, ROUTE, 0.1, 0, True)
        selector.record_response(OTHER_LOCAL, ROUTE, 0.4, 0, True)
    snapshot = make_snapshot(LOCAL, OTHER_LOCAL)
    chosen_counts = Counter(choose(selector, snapshot) for _ in range(20))
    assert chosen_counts['near'] == 20


def test_outstanding_requests_increase_the_cost():
    """Guards against a fast endpoint that gets all concurrent requests."""
    selector = make_selector()
    snapshot = make_snapshot(LOCAL, OTHER_LOCAL)
    chosen_counts = Counter()
    for _ in range(40):
        endpoint = selector.choose(snapshot, ROUTE, 'desk', frozenset(), 0.5)
        selector.record_sent(endpoint)
        chosen_counts[endpoint.identity] += 1
    assert min(chosen_counts.values()) >= 15


def test_fast_failures_do_not_attract_requests():
    """Guards against an endpoint preferred because its errors are fast."""
    selector = make_selector()
    for _ in range(40):
        selector.record_response(LOCAL, ROUTE, 0.1, 0, True)
        selector.record_response(OTHER_LOCAL, ROUTE, 0.01, 0, False)
    assert choose(selector, make_snapshot(LOCAL, OTHER_LOCAL)) == 'near'


def test_large_responses_stay_in_the_data_centre():
    """Guards against downloads from another data centre for a small gain."""
    selector = make_selector()
    selector.record_size(ROUTE, 90_000)
    selector.record_response(LOCAL, ROUTE, 0.15, 0, True)
    selector.record_wait(LOCAL, 2.0)
    assert choose(selector, make_snapshot(LOCAL, REMOTE)) == 'near'


def test_slow_local_endpoint_is_avoided_if_the_target_is_at_risk():
    """Guards against late responses while a remote endpoint is faster.

    A cost that trades seconds for kilobytes without regard to the target
    would select the local endpoint here.
    """
    selector = make_selector()
    selector.record_size(ROUTE, 3_000)
    for _ in range(100):
        selector.record_response(LOCAL, ROUTE, 0.35, 0, True)
        selector.record_response(REMOTE, ROUTE, 0.15, 0, True)
    assert choose(selector, make_snapshot(LOCAL, REMOTE)) == 'far'


def test_slow_local_endpoint_is_used_while_the_target_is_met():
    """Guards against remote traffic that does not help to meet the target."""
    selector = make_selector()
    selector.record_size(ROUTE, 1_000)
    for _ in range(100):
        selector.record_response(LOCAL, ROUTE, 0.1, 0, True)
        selector.record_response(REMOTE, ROUTE, 0.05, 0, True)
    assert choose(selector, make_snapshot(LOCAL, REMOTE)) == 'near'


def test_endpoint_with_errors_at_equal_latency_gets_fewer_requests():
    """Guards against an error rate that does not affect the selection."""
    selector = make_selector()
    for _ in range(40):
        selector.record_response(LOCAL, ROUTE, 0.1, 0, True)
        selector.record_response(OTHER_LOCAL, ROUTE, 0.1, 0, True)
    for _ in range(10):
        selector.record_response(OTHER_LOCAL, ROUTE, 0.1, 0, False)
    snapshot = make_snapshot(OTHER_LOCAL, LOCAL)
    assert {choose(selector, snapshot) for _ in range(20)} == {'near'}


class CountingSelector(Selector):
    """Selector that counts the endpoints that it compares."""

    compared = 0

    def _cost(self, endpoint, request):
        self.compared += 1
        return super()._cost(endpoint, request)


@pytest.mark.parametrize('count', [12, 195, 2000])
def test_choice_compares_no_more_endpoints_in_a_large_fleet(count):
    """Load: one service with endpoints in five data centres.

    Guards against a choice whose cost grows with the fleet.
    """
    endpoints = tuple(
        make_endpoint(
            f'e{number}',
            address=Address(f'10.0.{number // 250}.{number % 250}', 80),
            data_centre=f'oslo-{number % 5}',
        )
        for number in range(count)
    )
    selector = CountingSelector(FakeClock(), Random(1), 'oslo-1', RemoteCost())
    snapshot = make_snapshot(*endpoints)
    for _ in range(20):
        choose(selector, snapshot)
    assert selector.compared <= 20 * 2 * MAX_CANDIDATES


def test_daemons_of_a_large_fleet_do_not_choose_the_same_endpoint():
    """Load: 100 daemons with the same view send one request each.

    Guards against an endpoint that the whole fleet takes for the best.
    """
    endpoints = tuple(
        make_endpoint(f'e{number}', address=Address(f'10.0.0.{number}', 80))
        for number in range(60)
    )
    snapshot = make_snapshot(*endpoints)
    chosen = Counter()
    for seed in range(100):
        selector = Selector(FakeClock(), Random(seed), 'oslo-a', RemoteCost())
        for endpoint in endpoints[1:]:
            selector.record_wait(endpoint, 0.02)
        chosen[choose(selector, snapshot)] += 1
    assert max(chosen.values()) <= 40


def test_endpoints_outside_the_sample_are_used_if_it_is_held_off():
    """Guards against a request without endpoint although some are in touch."""
    clock = FakeClock()
    selector = make_selector(clock)
    endpoints = tuple(
        make_endpoint(f'e{number}', address=Address(f'10.0.0.{number}', 80))
        for number in range(60)
    )
    for endpoint in endpoints[1:]:
        selector.record_failure(endpoint)
    assert choose(selector, make_snapshot(*endpoints)) == 'e0'


LEAVING = UpstreamNotice('near', RateLimitAbsent(), is_leaving=True)


def test_endpoint_that_says_it_leaves_gets_nothing_more():
    """Guards against requests to an endpoint that says it leaves (DRAIN).

    Its entry may call it ready long after, in snapshots old and new.
    """
    selector = make_selector()
    assert choose(selector, make_snapshot(LOCAL, REMOTE)) == 'near'
    assert selector.record_notice(LOCAL, LEAVING)
    for _ in range(20):
        snapshot = make_snapshot(LOCAL, REMOTE)
        selector.drop_unlisted(snapshot)
        assert choose(selector, snapshot) == 'far'
    assert choose(selector, make_snapshot(LOCAL)) is None
    assert not selector.record_notice(LOCAL, LEAVING)


def test_new_incarnation_of_a_leaving_endpoint_is_chosen():
    """Guards against an endpoint that gets nothing after its return."""
    selector = make_selector()
    selector.record_notice(LOCAL, LEAVING)
    restarted = LOCAL._replace(started_ms=2)
    assert choose(selector, make_snapshot(restarted)) == 'near'


def test_load_goes_elsewhere_before_a_limit_is_used_up():
    """Guards against a limit that senders hear of by refusals only (LIMIT).

    The gate reports a rising delay while its limit is nearly used up.
    """
    selector = make_selector()
    selector.record_response(OTHER_LOCAL, ROUTE, 0.15, 0, True)
    selector.record_response(LOCAL, ROUTE, 0.15, 0.4, True)
    snapshot = make_snapshot(LOCAL, OTHER_LOCAL)
    assert {choose(selector, snapshot) for _ in range(20)} == {'next'}
