"""Tests of route and key lookup and of traffic splitting."""

from random import Random

from _fixtures import HOST, make_account, make_configuration, make_route
from hypothesis import given
from hypothesis import strategies as st

from wagtailline_sidecar.model import Route, ServiceWeight
from wagtailline_sidecar.routing import RouteTable, Splitter


def test_longest_prefix_wins():
    """Guards against a request sent to the route of a shorter prefix."""
    table = RouteTable(
        make_configuration(
            make_route('a', prefix='/a/'), make_route('b', prefix='/a/b/')
        )
    )
    assert table.find_route(HOST, '/a/b/c?x=/a/').name == 'b'
    assert table.find_route(HOST, '/a/bc').name == 'a'
    assert table.find_route(f'{HOST.upper()}:80', '/a/').name == 'a'
    assert table.find_route(HOST, '/a') is None
    assert table.find_route('other.example', '/a/') is None


def test_key_identifies_its_account():
    """Guards against a key attributed to another account."""
    accounts = (make_account('one'), make_account('two'))
    table = RouteTable(make_configuration(accounts=accounts))
    assert table.find_account('two-key').name == 'two'
    assert table.find_account('three-key') is None


@given(
    weights=st.lists(st.integers(1, 100), min_size=2, max_size=4),
    seed=st.integers(0, 1000),
)
def test_split_follows_the_weights_over_200_requests(weights, seed):
    """Guards against shares that deviate from their weights."""
    service_weights = tuple(
        ServiceWeight(f's{number}', weight)
        for number, weight in enumerate(weights)
    )
    route = make_route(service_weights=service_weights)
    splitter = Splitter(Random(seed))
    services = [splitter.choose(route) for _ in range(200)]
    for service_weight in service_weights:
        expected = service_weight.weight / sum(weights)
        assert (
            abs(services.count(service_weight.service) / 200 - expected) < 0.02
        )


def make_split(weights: tuple[int, int]) -> Route:
    """Return a route that is split over two services."""
    names = ('desk', 'vault')
    return make_route(
        service_weights=tuple(
            ServiceWeight(name, weight)
            for name, weight in zip(names, weights, strict=True)
        )
    )


def test_changed_services_reset_the_split():
    """Guards against requests to a service removed by a new version."""
    splitter = Splitter(Random(1))
    original_route = make_route(
        service_weights=(ServiceWeight('desk', 1), ServiceWeight('vault', 1))
    )
    splitter.choose(original_route)
    changed_route = make_route(
        service_weights=(ServiceWeight('desk', 1), ServiceWeight('other', 1))
    )
    assert {splitter.choose(changed_route) for _ in range(10)} == {
        'desk',
        'other',
    }


@given(
    seed=st.integers(0, 1000),
    old_weights=st.tuples(st.integers(1, 1000), st.integers(1, 1000)),
    requests=st.integers(0, 50),
    weights=st.tuples(st.integers(0, 10), st.integers(1, 10)),
)
def test_changed_weights_hold_from_the_next_request_on(
    seed, old_weights, requests, weights
):
    """Guards against requests to a service whose weight has become 0.

    What the shares were in arrears by was kept when the weights changed, by
    far more than a request where the new ones were small.
    """
    splitter = Splitter(Random(seed))
    before, after = make_split(old_weights), make_split(weights)
    for _ in range(requests):
        splitter.choose(before)
    services = [splitter.choose(after) for _ in range(100)]
    for name, weight in after.service_weights:
        expected = 100 * weight / sum(weights)
        assert abs(services.count(name) - expected) <= 1
        assert weight or name not in services
