"""Bytes of configurations between daemons: whole, or what has changed."""

import zlib
from collections.abc import Iterable, MutableMapping
from typing import Any, NamedTuple

import msgspec

from wagtailline_sidecar.model import (
    ClientAccount,
    Configuration,
    IngressLimits,
    Route,
    Service,
)

# Versions that a peer may still hold while newer ones follow quickly.
KEPT_VERSIONS = 16
# Bounds what a peer can make this process unpack.
MAX_WHOLE_BYTES = 8 * 1024 * 1024
_FASTEST = 1


class Changes(NamedTuple):
    """What turns the configuration of ``base_version`` into another one.

    Routes and accounts that differ or are new are whole; those that are gone
    are named. The counts guard against a base that is another one.
    """

    base_version: int
    version: int
    routes: tuple[Route, ...]
    gone_routes: tuple[str, ...]
    services: dict[str, Service]
    accounts: tuple[ClientAccount, ...]
    gone_accounts: tuple[str, ...]
    limits: IngressLimits
    route_count: int
    account_count: int


_WHOLE = msgspec.msgpack.Decoder(Configuration)
_CHANGES = msgspec.msgpack.Decoder(Changes)


class EncodedConfiguration(NamedTuple):
    """Bytes of a configuration; ``base_version`` is 0 when it is whole."""

    base_version: int
    content: bytes


class ConfigurationCodec:
    """Encodes the latest configuration against those before it."""

    def __init__(self) -> None:
        """Know no configuration."""
        self._latest: Configuration | None = None
        self._former: dict[int, Configuration] = {}
        self._encoded: dict[int, EncodedConfiguration] = {}

    def encode(
        self, configuration: Configuration, known_version: int
    ) -> EncodedConfiguration:
        """Return the configuration for a peer that knows a version."""
        if self._latest is not configuration:
            self._take(configuration)
        encoded = self._encoded.get(known_version)
        if encoded is None:
            encoded = self._encode(configuration, known_version)
            self._encoded[encoded.base_version] = encoded
        return encoded

    def _take(self, configuration: Configuration) -> None:
        if self._latest is not None:
            self._former[self._latest.version] = self._latest
        if len(self._former) > KEPT_VERSIONS:
            self._former.pop(min(self._former))
        self._latest = configuration
        self._encoded = {}

    def _encode(
        self, configuration: Configuration, known_version: int
    ) -> EncodedConfiguration:
        base = self._former.get(known_version)
        if base is not None:
            changes = msgspec.msgpack.encode(_compare(base, configuration))
            return EncodedConfiguration(known_version, _compress(changes))
        if 0 in self._encoded:
            return self._encoded[0]
        whole = msgspec.msgpack.encode(configuration)
        return EncodedConfiguration(0, _compress(whole))


def decode_configuration(
    encoded: EncodedConfiguration, held: Configuration | None
) -> Configuration:
    """Return a configuration; raise msgspec.DecodeError when it can't be.

    ``held`` is the configuration in force, to which changes are applied.
    """
    content = _decompress(encoded.content)
    if not encoded.base_version:
        return _WHOLE.decode(content)
    changes = _CHANGES.decode(content)
    if held is None or held.version != changes.base_version:
        raise msgspec.DecodeError('changes of a version that is not held')
    return _apply(held, changes)


def _compare(base: Configuration, new: Configuration) -> Changes:
    former = {route.name: route for route in base.routes}
    names = {route.name for route in new.routes}
    return Changes(
        base.version,
        new.version,
        tuple(one for one in new.routes if former.get(one.name) != one),
        tuple(name for name in former if name not in names),
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
    )


def _apply(held: Configuration, changes: Changes) -> Configuration:
    routes = {route.name: route for route in held.routes}
    _drop(routes, changes.gone_routes)
    routes.update({route.name: route for route in changes.routes})
    accounts = dict(held.accounts)
    _drop(accounts, changes.gone_accounts)
    accounts.update({account.name: account for account in changes.accounts})
    counts = (len(routes), len(accounts))
    if counts != (changes.route_count, changes.account_count):
        raise msgspec.DecodeError('changes of another configuration')
    return Configuration(
        changes.version,
        tuple(routes.values()),
        changes.services,
        accounts,
        changes.limits,
    )


def _drop(table: MutableMapping[str, Any], names: Iterable[str]) -> None:
    for name in names:
        table.pop(name, None)


def _compress(content: bytes) -> bytes:
    return zlib.compress(content, _FASTEST)


def _decompress(content: bytes) -> bytes:
    stream = zlib.decompressobj()
    try:
        whole = stream.decompress(content, MAX_WHOLE_BYTES)
    except zlib.error as problem:
        raise msgspec.DecodeError(str(problem)) from problem
    if not stream.eof:
        raise msgspec.DecodeError('configuration is cut or too large')
    return whole
