"""Encodes configurations for peers, whole or as a delta to a version."""

import zlib
from collections.abc import Iterable, MutableMapping
from typing import Any, NamedTuple

import msgspec

from wagtailline_sidecar.field_types import Count
from wagtailline_sidecar.model import (
    ClientAccount,
    Configuration,
    IngressLimits,
    Route,
    Service,
)
from wagtailline_sidecar.source_revision import (
    NO_VERSION,
    ConfigurationVersion,
)

# Previous versions to encode deltas against: a peer may be several versions
# behind while new ones are published in quick succession.
KEPT_VERSIONS = 16
# Limits the memory that decompressing the bytes of a peer can take.
MAX_DECOMPRESSED_BYTES = 8 * 1024 * 1024
_FASTEST_COMPRESSION_LEVEL = 1


class ConfigurationDelta(NamedTuple):
    """Difference between the configuration of ``base`` and another.

    New and changed routes and accounts are included whole, removed ones by
    name. The counts detect a base that differs from the expected one.
    """

    base: ConfigurationVersion
    version: Count
    routes: tuple[Route, ...]
    removed_routes: tuple[str, ...]
    services: dict[str, Service]
    accounts: tuple[ClientAccount, ...]
    removed_accounts: tuple[str, ...]
    limits: IngressLimits
    route_count: Count
    account_count: Count
    era: Count


_CONFIGURATION_DECODER = msgspec.msgpack.Decoder(Configuration)
_DELTA_DECODER = msgspec.msgpack.Decoder(ConfigurationDelta)


class EncodedConfiguration(NamedTuple):
    """Compressed configuration, or a delta to ``base`` if there is one."""

    base: ConfigurationVersion
    content: bytes


class ConfigurationCodec:
    """Encoder of the latest configuration; makes deltas to earlier versions."""

    def __init__(self) -> None:
        """Start without any configuration."""
        self._latest: Configuration | None = None
        self._previous: dict[ConfigurationVersion, Configuration] = {}
        self._encoded: dict[ConfigurationVersion, EncodedConfiguration] = {}

    def encode(
        self, configuration: Configuration, known: ConfigurationVersion
    ) -> EncodedConfiguration:
        """Encode the configuration for a peer that has ``known``.

        The result is a delta if that version is retained, else the whole.
        """
        if self._latest is not configuration:
            self._set_latest(configuration)
        encoded = self._encoded.get(known)
        if encoded is None:
            encoded = self._encode_uncached(configuration, known)
            self._encoded[encoded.base] = encoded
        return encoded

    def _set_latest(self, configuration: Configuration) -> None:
        if self._latest is not None:
            self._previous[self._latest.order] = self._latest
        if len(self._previous) > KEPT_VERSIONS:
            self._previous.pop(next(iter(self._previous)))
        self._latest = configuration
        self._encoded = {}

    def _encode_uncached(
        self, configuration: Configuration, known: ConfigurationVersion
    ) -> EncodedConfiguration:
        base = self._previous.get(known)
        if base is not None:
            delta = msgspec.msgpack.encode(_make_delta(base, configuration))
            return EncodedConfiguration(known, _compress(delta))
        if NO_VERSION in self._encoded:
            return self._encoded[NO_VERSION]
        whole = msgspec.msgpack.encode(configuration)
        return EncodedConfiguration(NO_VERSION, _compress(whole))


def decode_configuration(
    encoded: EncodedConfiguration, current: Configuration | None
) -> Configuration:
    """Decode a configuration; raise msgspec.DecodeError if it is invalid.

    ``current`` is the configuration in force, to which a delta is applied.
    """
    content = _decompress(encoded.content)
    if encoded.base == NO_VERSION:
        return _CONFIGURATION_DECODER.decode(content)
    delta = _DELTA_DECODER.decode(content)
    if current is None or current.order != delta.base:
        raise msgspec.DecodeError(
            'delta to a version other than the one in force'
        )
    return _apply_delta(current, delta)


def _make_delta(base: Configuration, new: Configuration) -> ConfigurationDelta:
    base_routes = {route.name: route for route in base.routes}
    names = {route.name for route in new.routes}
    return ConfigurationDelta(
        base.order,
        new.version,
        tuple(
            new_route
            for new_route in new.routes
            if base_routes.get(new_route.name) != new_route
        ),
        tuple(name for name in base_routes if name not in names),
        dict(new.services),
        tuple(
            account
            for name, account in new.accounts.items()
            if base.accounts.get(name) != account
        ),
        tuple(name for name in base.accounts if name not in new.accounts),
        new.limits,
        len(new.routes),
        len(new.accounts),
        new.era,
    )


def _apply_delta(
    current: Configuration, delta: ConfigurationDelta
) -> Configuration:
    routes = {route.name: route for route in current.routes}
    _remove_names(routes, delta.removed_routes)
    routes.update({route.name: route for route in delta.routes})
    accounts = dict(current.accounts)
    _remove_names(accounts, delta.removed_accounts)
    accounts.update({account.name: account for account in delta.accounts})
    counts = (len(routes), len(accounts))
    if counts != (delta.route_count, delta.account_count):
        raise msgspec.DecodeError(
            'delta to another configuration of the same version'
        )
    return Configuration(
        delta.version,
        tuple(routes.values()),
        delta.services,
        accounts,
        delta.limits,
        delta.era,
    )


def _remove_names(
    table: MutableMapping[str, Any], names: Iterable[str]
) -> None:
    for name in names:
        table.pop(name, None)


def _compress(content: bytes) -> bytes:
    return zlib.compress(content, _FASTEST_COMPRESSION_LEVEL)


def _decompress(content: bytes) -> bytes:
    stream = zlib.decompressobj()
    try:
        whole = stream.decompress(content, MAX_DECOMPRESSED_BYTES)
    except zlib.error as problem:
        raise msgspec.DecodeError(str(problem)) from problem
    if not stream.eof:
        raise msgspec.DecodeError('configuration is truncated or too large')
    return whole
