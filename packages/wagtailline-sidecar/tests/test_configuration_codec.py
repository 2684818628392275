"""Bytes of configurations between daemons."""

from random import Random

import msgspec
import pytest
from _fixtures import make_account, make_configuration, make_route
from hypothesis import given
from hypothesis import strategies as st

from wagtailline_sidecar._configuration_codec import (
    KEPT_VERSIONS,
    ConfigurationCodec,
    EncodedConfiguration,
    decode_configuration,
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


def normalise(configuration):
    routes = {route.name: route for route in configuration.routes}
    return configuration._replace(routes=routes)


def test_peer_with_the_former_version_gets_the_changes():
    """Guards against whole configurations that fill the reader's link.

    In a storm of versions a reader of 27 daemons on a link of 10 Mbit/s had
    to send 2.6 MB for each version, and missed the bound for new versions.
    """
    codec = ConfigurationCodec()
    first, second = make_large(1), make_large(2, changed=1)
    whole = codec.encode(first, 0)
    changes = codec.encode(second, 1)
    assert changes.base_version == 1
    assert len(changes.content) < len(whole.content) / 20
    assert normalise(decode_configuration(changes, first)) == normalise(second)


def test_peer_with_an_unknown_version_gets_all():
    """Guards against changes that a peer can't apply."""
    codec = ConfigurationCodec()
    configuration = make_large(3)
    encoded = codec.encode(configuration, 2)
    assert encoded.base_version == 0
    assert decode_configuration(encoded, None) == configuration


def test_versions_that_are_kept_are_bounded():
    """Guards against memory that grows with every version."""
    codec = ConfigurationCodec()
    for version in range(1, 3 * KEPT_VERSIONS):
        codec.encode(make_configuration(version=version), 0)
    latest = make_configuration(version=3 * KEPT_VERSIONS)
    assert codec.encode(latest, 1).base_version == 0
    known = 3 * KEPT_VERSIONS - 1
    assert codec.encode(latest, known).base_version == known


def test_changes_of_another_base_are_refused():
    """Guards against a mixture of two configurations."""
    codec = ConfigurationCodec()
    codec.encode(make_large(1), 0)
    changes = codec.encode(make_large(2), 1)
    with pytest.raises(msgspec.DecodeError):
        decode_configuration(changes, make_large(5))
    with pytest.raises(msgspec.DecodeError):
        decode_configuration(changes, make_configuration(version=1))


@pytest.mark.parametrize('content', [b'', b'no stream', b'x' * 40])
def test_bytes_that_are_no_configuration_are_refused(content):
    """Guards against a peer whose bytes end the exchange of snapshots."""
    with pytest.raises(msgspec.DecodeError):
        decode_configuration(EncodedConfiguration(0, content), None)


TABLES = st.dictionaries(
    st.sampled_from(['one', 'two', 'three', 'four']), st.integers(1, 3)
)


def build(version, routes, accounts):
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
def test_changes_lead_to_the_new_configuration(
    old_routes, old_accounts, new_routes, new_accounts
):
    """Guards against a route or account that is lost or kept by changes."""
    codec = ConfigurationCodec()
    former = build(1, old_routes, old_accounts)
    latest = build(2, new_routes, new_accounts)
    codec.encode(former, 0)
    decoded = decode_configuration(codec.encode(latest, 1), former)
    assert normalise(decoded) == normalise(latest)
