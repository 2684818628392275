"""Comparison of two sets of objects, and the risks of the change."""

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
    """An object that differs between two sets, and its changed fields."""

    change: Change
    kind: str
    name: str
    fields: tuple[str, ...]


class Risk(NamedTuple):
    """A consequence that an operator should expect of the new set."""

    subject: str
    consequence: str


def compare_sets(old: ObjectMap, new: ObjectMap) -> tuple[Difference, ...]:
    """Return the objects that differ, sorted by kind and name."""
    return tuple(
        difference
        for identity in sorted(old.keys() | new.keys())
        for difference in _compare(
            identity, old.get(identity), new.get(identity)
        )
    )


def find_risks(old: ObjectMap, new: ObjectMap) -> tuple[Risk, ...]:
    """Return the risks of replacing the old set by the new one."""
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
        remaining = after[service]
        if remaining < slots:
            yield Risk(
                f'services/{service}', f'{remaining} of {slots} slots remain'
            )


def _account_risks(new: ObjectMap) -> Iterator[Risk]:
    accounts_with_keys = {
        item.client_account for item in new.values() if isinstance(item, Key)
    }
    for item in new.values():
        if (
            isinstance(item, ClientAccount)
            and item.name not in accounts_with_keys
        ):
            yield Risk(f'client_accounts/{item.name}', 'has no key')


def _count_slots(objects: ObjectMap) -> Counter[str]:
    """Return the slots of the endpoints in service, by service."""
    slots: Counter[str] = Counter()
    for item in objects.values():
        if isinstance(item, Endpoint) and _is_in_service(item, objects):
            slots[item.service] += item.slots
    return slots


def _is_in_service(endpoint: Endpoint, objects: ObjectMap) -> bool:
    data_centre = objects.get(('data_centres', endpoint.data_centre))
    return (
        endpoint.in_service
        and isinstance(data_centre, DataCentre)
        and data_centre.in_service
    )
