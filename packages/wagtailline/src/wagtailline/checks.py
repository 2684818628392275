"""Checks of a whole object set before it is published or installed."""

from collections.abc import Iterator
from typing import NamedTuple

from wagtailline.objects import (
    ClientAccount,
    DataCentre,
    Endpoint,
    Key,
    Limit,
    ObjectId,
    ObjectMap,
    PublishedObject,
    Route,
    Service,
    object_id,
)

# Rounding of decimal shares such as 0.1 may exceed one by a few ulps.
_SHARE_TOLERANCE = 1e-9


class DanglingReference(NamedTuple):
    """A field names an object that the set does not hold."""

    kind: str
    name: str
    field: str
    target: str


class KeyClaimedTwice(NamedTuple):
    """Two keys have one digest."""

    name: str
    other: str


class SharesExceedOne(NamedTuple):
    """The shares of a limit sum to more than one."""

    name: str
    total: float


class PrefixClaimedTwice(NamedTuple):
    """Two routes have the same prefix."""

    name: str
    other: str


class SlotsExceedConnections(NamedTuple):
    """An endpoint would run more requests than it accepts connections."""

    name: str
    slots: int
    connections: int


class OpenRouteUnlimited(NamedTuple):
    """An open route has no limit of its own."""

    name: str


SetFault = (
    DanglingReference
    | KeyClaimedTwice
    | SharesExceedOne
    | PrefixClaimedTwice
    | OpenRouteUnlimited
    | SlotsExceedConnections
)


def check_set(objects: ObjectMap) -> tuple[SetFault, ...]:
    """Return every fault of the set; an empty tuple means it is sound."""
    faults: list[SetFault] = []
    claims = Claims({}, {})
    for published in objects.values():
        faults.extend(check_object(published, objects, claims))
    return tuple(faults)


class Claims(NamedTuple):
    """Names of the keys by digest and of the routes by prefix."""

    digests: dict[str, str]
    prefixes: dict[str, str]


def check_object(
    published: PublishedObject, objects: ObjectMap, claims: Claims
) -> Iterator[SetFault]:
    """Yield the faults of one object; its claims are added."""
    yield from _dangling(published, objects)
    yield from _check_one(published, claims)


def _check_one(
    published: PublishedObject, claims: Claims
) -> Iterator[SetFault]:
    match published:
        case Key(name=name, digest=digest):
            first = claims.digests.setdefault(digest, name)
            if first != name:
                yield KeyClaimedTwice(name, first)
        case Route(name=name, prefix=prefix):
            first = claims.prefixes.setdefault(prefix, name)
            if first != name:
                yield PrefixClaimedTwice(name, first)
            if published.open and published.limit is None:
                yield OpenRouteUnlimited(name)
        case Limit(name=name, shares=shares):
            total = sum(shares.values())
            if total > 1 + _SHARE_TOLERANCE:
                yield SharesExceedOne(name, total)
        case Endpoint(name=name, slots=slots, connections=connections):
            if slots > connections:
                yield SlotsExceedConnections(name, slots, connections)


def _dangling(
    published: PublishedObject, objects: ObjectMap
) -> Iterator[DanglingReference]:
    for field, target in _references(published):
        if target not in objects:
            yield DanglingReference(*object_id(published), field, target[1])


def _references(
    published: PublishedObject,
) -> Iterator[tuple[str, ObjectId]]:
    match published:
        case Endpoint():
            yield 'service', ('services', published.service)
            yield 'data_centre', ('data_centres', published.data_centre)
        case Route():
            yield from _route_references(published)
        case ClientAccount():
            yield 'limit', ('limits', published.limit)
        case Key():
            yield (
                'client_account',
                ('client_accounts', published.client_account),
            )
        case Limit():
            for name in published.shares:
                yield 'shares', ('data_centres', name)
        case DataCentre() | Service():
            return


def _route_references(route: Route) -> Iterator[tuple[str, ObjectId]]:
    yield 'service', ('services', route.service)
    if route.limit is not None:
        yield 'limit', ('limits', route.limit)
    for account in route.client_accounts:
        yield 'client_accounts', ('client_accounts', account)
