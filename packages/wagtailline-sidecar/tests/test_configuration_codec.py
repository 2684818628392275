"""Tests of the encoding of configurations between daemons."""

from random import Random

import msgspec
import pytest
from _fixtures import ERA, make_account, make_configuration, make_route
from hypothesis import given
from hypothesis import strategies as st

from wagtailline_sidecar._configuration_codec import (
    KEPT_VERSIONS,
    ConfigurationCodec,
    EncodedConfiguration,
    decode_configuration,
)
from wagtailline_sidecar.source_revision import (
    NO_VERSION,
    ConfigurationVersion,
)

ROUTES = 800


def make_large(version: int, changed: int = 0):
    random = Random(1)
    routes = [
        make_route(f'r-{random.getrandbits(40):x}', prefix=f'/p{number}/')
        for number in range(ROUTES)
    ]
    routes[0] = routes[0]._replace(timeout_seconds=1 + changed)
    accounts = tuple(make_account(f'a{number}') for number in range(85))
    return make_configuration(*routes, version=version, accounts=accounts)


def index_routes(configuration):
    routes = {route.name: route for route in configuration.routes}
    return configuration._replace(routes=routes)


def test_peer_with_the_previous_version_gets_a_delta():
    """Guards against saturating the link of the daemon that reads the source.

    With many versions in quick succession, the reader for 27 daemons had to
    send 2.6 MB per version over 10 Mbit/s; versions took effect too late.
    """
    codec = ConfigurationCodec()
    first, second = make_large(1), make_large(2, changed=1)
    whole = codec.encode(first, NO_VERSION)
    delta = codec.encode(second, first.order)
    assert delta.base == first.order
    assert len(delta.content) < len(whole.content) / 20
    assert index_routes(decode_configuration(delta, first)) == index_routes(
        second
    )


def test_peer_with_an_unknown_version_gets_the_whole():
    """Guards against a delta that a peer can't apply."""
    codec = ConfigurationCodec()
    configuration = make_large(3)
    encoded = codec.encode(configuration, ConfigurationVersion(2, ERA))
    assert encoded.base == NO_VERSION
    assert decode_configuration(encoded, None) == configuration


def test_number_of_retained_versions_is_bounded():
    """Guards against memory use that grows with every version."""
    codec = ConfigurationCodec()
    for version in range(1, 3 * KEPT_VERSIONS):
        codec.encode(make_configuration(version=version), NO_VERSION)
    latest = make_configuration(version=3 * KEPT_VERSIONS)
    first = ConfigurationVersion(1, ERA)
    assert codec.encode(latest, first).base == NO_VERSION
    known = ConfigurationVersion(3 * KEPT_VERSIONS - 1, ERA)
    assert codec.encode(latest, known).base == known


def test_delta_to_another_base_is_rejected():
    """Guards against applying a delta to a different configuration."""
    codec = ConfigurationCodec()
    codec.encode(make_large(1), NO_VERSION)
    delta = codec.encode(make_large(2), ConfigurationVersion(1, ERA))
    with pytest.raises(msgspec.DecodeError):
        decode_configuration(delta, make_large(5))
    with pytest.raises(msgspec.DecodeError):
        decode_configuration(delta, make_configuration(version=1))


def test_delta_to_the_same_version_of_another_era_is_rejected():
    """Guards against a delta that is applied to lost content."""
    codec = ConfigurationCodec()
    base = make_large(1)
    codec.encode(base, NO_VERSION)
    latest = make_large(2)._replace(era=ERA + 1)
    delta = codec.encode(latest, base.order)
    assert decode_configuration(delta, base).order == latest.order
    with pytest.raises(msgspec.DecodeError):
        decode_configuration(delta, base._replace(era=ERA + 1))
    again = ConfigurationVersion(1, ERA + 1)
    assert codec.encode(latest, again).base == NO_VERSION


@pytest.mark.parametrize('content', [b'', b'no stream', b'x' * 40])
def test_malformed_bytes_are_rejected(content):
    """Guards against malformed bytes that stop the exchange of snapshots."""
    with pytest.raises(msgspec.DecodeError):
        decode_configuration(EncodedConfiguration(NO_VERSION, content), None)


TABLES = st.dictionaries(
    st.sampled_from(['one', 'two', 'three', 'four']), st.integers(1, 3)
)


def make_from_tables(version, routes, accounts):
    return make_configuration(
        make_route('fixed', prefix='/fixed/'),
        *(
            make_route(name, prefix=f'/{name}/', priority=number)
            for name, number in routes.items()
        ),
        version=version,
        accounts=tuple(
            make_account(name, rate=number) for name, number in accounts.items()
        ),
    )


@given(TABLES, TABLES, TABLES, TABLES)
def test_delta_yields_the_new_configuration(
    old_routes, old_accounts, new_routes, new_accounts
):
    """Guards against a delta that loses entries or retains removed ones."""
    codec = ConfigurationCodec()
    base = make_from_tables(1, old_routes, old_accounts)
    latest = make_from_tables(2, new_routes, new_accounts)
    codec.encode(base, NO_VERSION)
    decoded = decode_configuration(codec.encode(latest, base.order), base)
    assert index_routes(decoded) == index_routes(latest)


def test_versions_that_go_back_are_sent_as_deltas():
    """Guards against whole configurations after numbers went back.

    The lowest version was dropped first, which was the latest one.
    """
    codec = ConfigurationCodec()
    for number in range(80, 80 + 2 * KEPT_VERSIONS):
        codec.encode(make_large(number), NO_VERSION)
    known = make_large(60)
    codec.encode(known, NO_VERSION)
    for number in range(61, 64):
        latest = make_large(number, changed=number)._replace(era=ERA + 1)
        assert codec.encode(latest, known.order).base == known.order
        known = latest
