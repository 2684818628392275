"""Differences between two sets and what they put at risk."""

from collections import Counter
from collections.abc import Iterator
from typing import Literal, NamedTuple

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
)

Change = Literal['added', 'removed', 'changed']


class Difference(NamedTuple):
    """One object that differs."""

    change: Change
    kind: str
    name: str
    fields: tuple[str, ...]


class Risk(NamedTuple):
    """A consequence that an operator should expect."""

    subject: str
    consequence: str


def compare_sets(old: ObjectMap, new: ObjectMap) -> tuple[Difference, ...]:
    """Return what differs, sorted by kind and name."""
    return tuple(
        difference
        for identity in sorted(old.keys() | new.keys())
        for difference in _compare(
            identity, old.get(identity), new.get(identity)
        )
    )


def find_risks(old: ObjectMap, new: ObjectMap) -> tuple[Risk, ...]:
    """Return what the change from the old set to the new one may break."""
    return (
        *_object_risks(old, new),
        *_service_risks(old, new),
        *_account_risks(new),
    )


def _compare(
    identity: ObjectId,
    old: PublishedObject | None,
    new: PublishedObject | None,
) -> Iterator[Difference]:
    if old is None:
        yield Difference('added', *identity, ())
    elif new is None:
        yield Difference('removed', *identity, ())
    elif old != new:
        before, after = old._asdict(), new._asdict()
        fields = tuple(name for name in before if before[name] != after[name])
        yield Difference('changed', *identity, fields)


def _object_risks(old: ObjectMap, new: ObjectMap) -> Iterator[Risk]:
    for identity, before in old.items():
        subject = '/'.join(identity)
        match before, new.get(identity):
            case Key(), None:
                yield Risk(subject, 'callers with this key are refused')
            case Route(), None:
                yield Risk(subject, 'requests below its prefix are refused')
            case DataCentre(in_service=True), DataCentre(in_service=False):
                yield Risk(subject, 'takes no new work; others take its load')
            case DataCentre(in_service=False), DataCentre(in_service=True):
                yield Risk(subject, 'returns with cold upstreams')
            case Limit(), Limit() as after if after.rate < before.rate:
                yield Risk(subject, 'the lower rate applies at once')


def _service_risks(old: ObjectMap, new: ObjectMap) -> Iterator[Risk]:
    before, after = _count_slots(old), _count_slots(new)
    for service, slots in before.items():
        left = after[service]
        if left < slots:
            yield Risk(f'services/{service}', f'{left} of {slots} slots remain')


def _account_risks(new: ObjectMap) -> Iterator[Risk]:
    with_keys = {
        one.client_account for one in new.values() if isinstance(one, Key)
    }
    for one in new.values():
        if isinstance(one, ClientAccount) and one.name not in with_keys:
            yield Risk(f'client_accounts/{one.name}', 'has no key')


def _count_slots(objects: ObjectMap) -> Counter[str]:
    slots: Counter[str] = Counter()
    for one in objects.values():
        if isinstance(one, Endpoint) and _is_in_service(one, objects):
            slots[one.service] += one.slots
    return slots


def _is_in_service(endpoint: Endpoint, objects: ObjectMap) -> bool:
    centre = objects.get(('data_centres', endpoint.data_centre))
    return (
        endpoint.in_service
        and isinstance(centre, DataCentre)
        and centre.in_service
    )
