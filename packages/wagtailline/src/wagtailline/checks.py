"""Consistency checks of an object set, before publishing or installing it."""

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

# The sum of decimal shares such as 0.1 may exceed one by a few units in the
# last place, because of rounding.
_SHARE_TOLERANCE = 1e-9


class DanglingReference(NamedTuple):
    """A field names an object that is not in the set."""

    kind: str
    name: str
    field: str
    target: str


class KeyClaimedTwice(NamedTuple):
    """Two keys have the same digest."""

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
    """An endpoint has more slots than it accepts connections."""

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
    """Return all faults of the set, an empty tuple if it has none."""
    faults: list[SetFault] = []
    unique_values = UniqueValues({}, {})
    for published in objects.values():
        faults.extend(check_object(published, objects, unique_values))
    return tuple(faults)


class UniqueValues(NamedTuple):
    """Values that must be unique in a set: key digests and route prefixes.

    ``digests`` gives the name of the key by digest, ``prefixes`` that of the
    route by prefix.
    """

    digests: dict[str, str]
    prefixes: dict[str, str]


def check_object(
    published: PublishedObject, objects: ObjectMap, unique_values: UniqueValues
) -> Iterator[SetFault]:
    """Yield the faults of one object.

    Its own digest or prefix is added to ``unique_values``.
    """
    yield from _check_references(published, objects)
    yield from _check_fields(published, unique_values)


def _check_fields(
    published: PublishedObject, unique_values: UniqueValues
) -> Iterator[SetFault]:
    match published:
        case Key(name=name, digest=digest):
            first = unique_values.digests.setdefault(digest, name)
            if first != name:
                yield KeyClaimedTwice(name, first)
        case Route(name=name, prefix=prefix):
            first = unique_values.prefixes.setdefault(prefix, name)
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


def _check_references(
    published: PublishedObject, objects: ObjectMap
) -> Iterator[DanglingReference]:
    for field, target in _find_references(published):
        if target not in objects:
            yield DanglingReference(*object_id(published), field, target[1])


def _find_references(
    published: PublishedObject,
) -> Iterator[tuple[str, ObjectId]]:
    match published:
        case Endpoint():
            yield 'service', ('services', published.service)
            yield 'data_centre', ('data_centres', published.data_centre)
        case Route():
            yield from _find_route_references(published)
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


def _find_route_references(route: Route) -> Iterator[tuple[str, ObjectId]]:
    yield 'service', ('services', route.service)
    if route.limit is not None:
        yield 'limit', ('limits', route.limit)
    for account in route.client_accounts:
        yield 'client_accounts', ('client_accounts', account)
