"""Indexes of a snapshot, copied only where a version differs."""

from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple, TypeVar

from wagtailline.checks import Claims, SetFault, check_object, check_set
from wagtailline.objects import (
    Endpoint,
    Key,
    ObjectId,
    ObjectMap,
    Route,
)

# Removing an object of these kinds may leave references to it anywhere.
_REFERENCED_KINDS = frozenset(
    ('data_centres', 'services', 'client_accounts', 'limits')
)


_Kind = TypeVar('_Kind', Endpoint, Key, Route)


class Indexes(NamedTuple):
    """Keys by digest, routes by prefix, endpoints by service."""

    keys: Mapping[str, Key]
    routes: Mapping[str, Route]
    endpoints: Mapping[str, tuple[Endpoint, ...]]


def index_objects(objects: ObjectMap) -> Indexes:
    """Index a whole set."""
    return update_indexes(Indexes({}, {}, {}), {}, objects, objects)


def update_indexes(
    indexes: Indexes,
    former: ObjectMap,
    objects: ObjectMap,
    changed: Iterable[ObjectId],
) -> Indexes:
    """Return the indexes after a change; the given ones are unchanged."""
    by_kind: dict[str, list[ObjectId]] = {}
    for identity in changed:
        by_kind.setdefault(identity[0], []).append(identity)
    keys, routes, endpoints = indexes
    if 'keys' in by_kind:
        keys = _update_keys(keys, by_kind['keys'], former, objects)
    if 'routes' in by_kind:
        routes = _update_routes(routes, by_kind['routes'], former, objects)
    if 'endpoints' in by_kind:
        endpoints = _update_endpoints(
            endpoints, by_kind['endpoints'], former, objects
        )
    return Indexes(keys, routes, endpoints)


def find_longest_prefix(routes: Mapping[str, Route], path: str) -> Route | None:
    """Return the route of the longest prefix that ends a path segment."""
    if path in routes:
        return routes[path]
    for end in range(len(path) - 1, -1, -1):
        if path[end] in '/?':
            # A prefix that ends with a slash covers all that follows it.
            if path[end] == '/' and path[: end + 1] in routes:
                return routes[path[: end + 1]]
            if path[:end] in routes:
                return routes[path[:end]]
    return None


def check_changes(
    indexes: Indexes,
    former: ObjectMap,
    objects: ObjectMap,
    changed: Collection[ObjectId],
) -> tuple[SetFault, ...]:
    """Return the faults of a set that differs from a sound one.

    A whole check takes about 15 ms at 8,200 endpoints, which would delay
    calls; this one takes time in proportion to the change.
    """
    if any(
        kind in _REFERENCED_KINDS and (kind, name) not in objects
        for kind, name in changed
    ):
        return check_set(objects)
    claims = _unchanged_claims(indexes, objects, changed)
    faults: list[SetFault] = []
    for identity in changed:
        published = objects.get(identity)
        if published is not None:
            faults.extend(check_object(published, objects, claims))
    return tuple(faults)


def _unchanged_claims(
    indexes: Indexes, objects: ObjectMap, changed: Collection[ObjectId]
) -> Claims:
    claims = Claims({}, {})
    for key in _pick(objects, changed, Key):
        held = indexes.keys.get(key.digest)
        if held and ('keys', held.name) not in changed:
            claims.digests[held.digest] = held.name
    for route in _pick(objects, changed, Route):
        kept = indexes.routes.get(route.prefix)
        if kept and ('routes', kept.name) not in changed:
            claims.prefixes[kept.prefix] = kept.name
    return claims


def _update_keys(
    keys: Mapping[str, Key],
    changed: Collection[ObjectId],
    former: ObjectMap,
    objects: ObjectMap,
) -> Mapping[str, Key]:
    updated = dict(keys)
    for old in _pick(former, changed, Key):
        updated.pop(old.digest, None)
    for new in _pick(objects, changed, Key):
        updated[new.digest] = new
    return updated


def _update_routes(
    routes: Mapping[str, Route],
    changed: Collection[ObjectId],
    former: ObjectMap,
    objects: ObjectMap,
) -> Mapping[str, Route]:
    updated = dict(routes)
    for old in _pick(former, changed, Route):
        updated.pop(old.prefix, None)
    for new in _pick(objects, changed, Route):
        updated[new.prefix] = new
    return updated


def _update_endpoints(
    endpoints: Mapping[str, tuple[Endpoint, ...]],
    changed: Collection[ObjectId],
    former: ObjectMap,
    objects: ObjectMap,
) -> Mapping[str, tuple[Endpoint, ...]]:
    touched: dict[str, dict[str, Endpoint]] = {}
    for old in _pick(former, changed, Endpoint):
        _group_of(touched, endpoints, old.service).pop(old.name, None)
    for new in _pick(objects, changed, Endpoint):
        _group_of(touched, endpoints, new.service)[new.name] = new
    updated = dict(endpoints)
    for service, members in touched.items():
        updated[service] = tuple(members[name] for name in sorted(members))
    return updated


def _group_of(
    touched: dict[str, dict[str, Endpoint]],
    endpoints: Mapping[str, tuple[Endpoint, ...]],
    service: str,
) -> dict[str, Endpoint]:
    if service not in touched:
        touched[service] = {
            endpoint.name: endpoint for endpoint in endpoints.get(service, ())
        }
    return touched[service]


def _pick(
    objects: ObjectMap, changed: Iterable[ObjectId], kind: type[_Kind]
) -> list[_Kind]:
    picked = (objects.get(identity) for identity in changed)
    return [published for published in picked if isinstance(published, kind)]
