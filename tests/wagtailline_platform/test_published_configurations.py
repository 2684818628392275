"""Tests that what the platform lets an operator publish is in force whole."""

import base64
import itertools
import json
from random import Random
from typing import Any

import pytest
from _daemons import make_configuration, make_large_configuration
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from wagtailline.streams import MAX_FRAME_BYTES
from wagtailline_platform.decoding import decode_configuration
from wagtailline_sidecar._configuration_codec import ConfigurationCodec
from wagtailline_sidecar._configuration_codec import (
    decode_configuration as relay_configuration,
)
from wagtailline_sidecar.checks import check_configuration
from wagtailline_sidecar.model import Configuration
from wagtailline_sidecar.routing import RouteTable
from wagtailline_sidecar.source_revision import NO_VERSION

ERA = 3
MAX_VALUE_BYTES = 1024 * 1024
KEY_BYTES = 15
SERVICES = ('desk', 'vault', 'ledger')
NAMES = st.text('abcz-09', min_size=1, max_size=4)
HOSTS = st.sampled_from(
    ['desk.example', 'Vault.Example', '10.0.0.1:8080', '[::1]']
)
SEGMENTS = st.sampled_from(['a', 'b', 'ab', '%2f', 'é', '.', ''])
PREFIXES = st.lists(SEGMENTS, max_size=4).map(
    lambda segments: ''.join(f'{segment}/' for segment in ['', *segments])
)
NUMBERS = st.one_of(
    st.integers(1, 10**9), st.floats(0.001, 10**9, allow_nan=False)
)
WEIGHTS = st.one_of(st.just(0), NUMBERS)
# Of versions of the platform that this program does not know.
UNKNOWN_FIELDS = st.fixed_dictionaries(
    {},
    optional={
        'baseVersion': st.integers(),
        'retry': st.none() | st.dictionaries(NAMES, st.integers()),
        'homes': st.lists(NAMES, max_size=2),
    },
)


@st.composite
def make_targets(draw) -> dict[str, Any]:
    """Draw what names the services of a route."""
    service = {'service': draw(st.sampled_from(SERVICES))}
    if draw(st.booleans()):
        return service | draw(
            st.sampled_from([{}, {'trafficSplit': None}, {'trafficSplit': []}])
        )
    names = draw(st.lists(st.sampled_from(SERVICES), min_size=1, unique=True))
    shares = [{'service': name, 'weight': draw(WEIGHTS)} for name in names]
    shares[0]['weight'] = draw(NUMBERS)
    absent = draw(st.sampled_from([{}, {'service': None}, {'service': ''}]))
    return absent | {'trafficSplit': shares}


@st.composite
def make_routes(draw) -> dict[str, Any]:
    matches = draw(
        st.lists(
            st.tuples(HOSTS, PREFIXES),
            unique_by=lambda match: (match[0].lower(), match[1]),
            max_size=8,
        )
    )
    names = draw(
        st.lists(NAMES, min_size=len(matches), max_size=8, unique=True)
    )
    optional = {
        'maxAttempts': st.integers(1, 10**6) | st.none(),
        'priority': st.integers(0, 10**6) | st.none(),
        'public': st.booleans() | st.none(),
    }
    return {
        name: {
            'host': host,
            'prefix': prefix,
            'routeKind': draw(st.sampled_from(['safe', 'unsafe', 'download'])),
            'timeoutMs': draw(NUMBERS),
            'sloMs': draw(NUMBERS),
            **draw(make_targets()),
            **draw(st.fixed_dictionaries({}, optional=optional)),
            **draw(UNKNOWN_FIELDS),
        }
        for name, (host, prefix) in zip(names, matches, strict=False)
    }


@st.composite
def make_tenants(draw) -> dict[str, Any]:
    keys = iter(draw(st.lists(st.text('ab0-', min_size=1), unique=True)))
    optional = {
        'priority': st.integers(0, 100) | st.none(),
        'ratePerS': NUMBERS | st.sampled_from([0, None]),
        'burst': NUMBERS | st.sampled_from([0, None]),
    }
    tenants = {}
    for name in draw(st.lists(NAMES, max_size=4, unique=True)):
        tenants[name] = draw(st.fixed_dictionaries({}, optional=optional))
        count = draw(st.integers(0, 3))
        api_keys = list(itertools.islice(keys, count))
        tenants[name] |= draw(
            st.sampled_from([{'apiKeys': api_keys}] * 3)
            if api_keys
            else st.sampled_from([{}, {'apiKeys': None}, {'apiKeys': []}])
        )
    return tenants


@st.composite
def make_published(draw) -> dict[str, Any]:
    """Draw a configuration that the platform accepts."""
    service = make_configuration()['services']['desk']
    services = {name: {**service, **draw(UNKNOWN_FIELDS)} for name in SERVICES}
    tenants = draw(
        st.just({}) | make_tenants().map(lambda tenants: {'tenants': tenants})
    )
    whole = make_configuration(draw(st.integers(1, 2**53)))
    whole.pop('tenants')
    return {
        **whole,
        'routes': draw(make_routes()),
        'services': services,
        **tenants,
        **draw(UNKNOWN_FIELDS),
    }


def decode_sound(published: dict[str, Any]) -> Configuration:
    """Return a configuration as the daemon that reads it takes it."""
    result = decode_configuration(json.dumps(published).encode(), ERA)
    assert isinstance(result, Ok), result
    assert check_configuration(result.ok_value) == ()
    return result.ok_value


def find_expected(
    published: dict[str, Any], host: str, path: str
) -> str | None:
    """Return the name of the route that the platform's pages ask for."""
    matching = [
        (len(route['prefix']), name)
        for name, route in published['routes'].items()
        if route['host'].lower() == host.lower()
        and path.startswith(route['prefix'])
    ]
    return max(matching)[1] if matching else None


def check_routes(
    published: dict[str, Any], configuration: Configuration, paths: list[str]
) -> None:
    """Compare the routes that are found with those that are due."""
    table = RouteTable(configuration)
    hosts = {route['host'] for route in published['routes'].values()}
    for host, path in itertools.product(hosts, paths):
        for requested in (host, host.upper(), f'{host}:80'):
            found = table.find_route(requested, path)
            name = None if found is None else found.name
            assert name == find_expected(published, host, path)


@settings(deadline=None, derandomize=True, max_examples=60)
@given(make_published(), make_published(), st.lists(PREFIXES, max_size=5))
def test_published_configuration_is_in_force_at_each_daemon(old, new, paths):
    """Guards against a version that every daemon refuses, or takes in part.

    It would keep all of them at an older one: no other daemon could help.
    """
    new['version'] = old['version'] + 1 + new['version'] % 7
    base, latest = decode_sound(old), decode_sound(new)
    codec = ConfigurationCodec()
    whole = relay_configuration(codec.encode(base, NO_VERSION), None)
    assert whole == base
    delta = codec.encode(latest, base.order)
    assert delta.base == base.order
    relayed = relay_configuration(delta, whole)
    assert relayed._replace(routes=()) == latest._replace(routes=())
    assert set(relayed.routes) == set(latest.routes)
    paths = [
        *(route['prefix'] + 'x' for route in new['routes'].values()),
        *paths,
        *(path.rstrip('/') for path in paths),
    ]
    check_routes(new, relayed, paths)
    for name, tenant in (new.get('tenants') or {}).items():
        for key in tenant.get('apiKeys') or ():
            assert RouteTable(relayed).find_account(key).name == name


@pytest.mark.parametrize('routes', [1500, 4000])
def test_largest_configuration_fits_into_what_daemons_exchange(routes):
    """Guards against a version that is read but can't be passed on.

    The frames between daemons and what may be decompressed are limited.
    """
    published = make_large_configuration(1, routes)
    random = Random(routes)
    keys = published['tenants']['studio']['apiKeys']
    spare_bytes = MAX_VALUE_BYTES - len(json.dumps(published))
    # A key is written with two quotes, a comma and a space.
    for _ in range(spare_bytes // (KEY_BYTES * 4 // 3 + 4)):
        keys.append(base64.b64encode(random.randbytes(KEY_BYTES)).decode())
    size_bytes = len(json.dumps(published))
    assert 0 <= MAX_VALUE_BYTES - size_bytes < 100
    configuration = decode_sound(published)
    encoded = ConfigurationCodec().encode(configuration, NO_VERSION)
    assert len(encoded.content) < MAX_FRAME_BYTES
    relayed = relay_configuration(encoded, None)
    assert relayed == configuration
    check_routes(published, relayed, ['/order/x', f'/r{routes - 1}/x', '/r/'])


def test_null_tenants_open_no_route():
    """Guards against routes that need no key because a table is null."""
    content = json.dumps(make_configuration(1, tenants=None)).encode()
    assert isinstance(decode_configuration(content, 1), Err)
