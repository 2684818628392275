"""Snapshots of the configuration, and the store of the current one."""

import asyncio
from collections.abc import Collection, Iterable
from typing import NamedTuple

from result import Err, Ok, Result

from wagtailline._indexes import (
    check_changes,
    find_longest_prefix,
    index_objects,
    update_indexes,
)
from wagtailline.checks import SetFault
from wagtailline.objects import (
    ClientAccount,
    DataCentre,
    Endpoint,
    Limit,
    ObjectId,
    ObjectMap,
    Route,
)


class Snapshot:
    """One immutable version of the configuration, with indexes for requests."""

    def __init__(self, version: int, digest: bytes, objects: ObjectMap) -> None:
        """Index a set of objects that has been checked as a whole."""
        self.version = version
        self.digest = digest
        self.objects = objects
        self._indexes = index_objects(objects)

    def advance(
        self,
        version: int,
        digest: bytes,
        objects: ObjectMap,
        changed: Iterable[ObjectId],
    ) -> 'Snapshot':
        """Return the next version; only indexes of changed kinds are copied.

        ``changed`` are the identities of all added, changed and removed
        objects.
        """
        successor = Snapshot.__new__(Snapshot)
        successor.version = version
        successor.digest = digest
        successor.objects = objects
        successor._indexes = update_indexes(
            self._indexes, self.objects, objects, changed
        )
        return successor

    def find_faults(
        self, objects: ObjectMap, changed: Collection[ObjectId]
    ) -> tuple[SetFault, ...]:
        """Return the faults of a set that differs from this valid one."""
        return check_changes(self._indexes, self.objects, objects, changed)

    def find_account_by_key(self, digest: str) -> ClientAccount | None:
        """Return the client account of the key with this digest."""
        key = self._indexes.keys.get(digest)
        return None if key is None else self.find_account(key.client_account)

    def match_route(self, path: str) -> Route | None:
        """Return the route with the longest matching prefix."""
        return find_longest_prefix(self._indexes.routes, path)

    def endpoints_of(self, service: str) -> tuple[Endpoint, ...]:
        """Return all endpoints of a service, also those out of service."""
        return self._indexes.endpoints.get(service, ())

    def find_endpoint(self, name: str) -> Endpoint | None:
        """Return the endpoint with this name."""
        found = self.objects.get(('endpoints', name))
        return found if isinstance(found, Endpoint) else None

    def find_limit(self, name: str) -> Limit | None:
        """Return the limit with this name."""
        found = self.objects.get(('limits', name))
        return found if isinstance(found, Limit) else None

    def find_account(self, name: str) -> ClientAccount | None:
        """Return the client account with this name."""
        found = self.objects.get(('client_accounts', name))
        return found if isinstance(found, ClientAccount) else None

    def is_in_service(self, endpoint: Endpoint) -> bool:
        """Return whether the endpoint and its data centre are in service."""
        found = self.objects.get(('data_centres', endpoint.data_centre))
        return (
            endpoint.in_service
            and isinstance(found, DataCentre)
            and found.in_service
        )


class OlderVersion(NamedTuple):
    """The offered version is lower than the current one."""

    current: int
    offered: int


class ForkedVersion(NamedTuple):
    """The current version was offered again with another digest."""

    version: int
    current: bytes
    offered: bytes


InstallRefusal = OlderVersion | ForkedVersion


class SnapshotStore:
    """Holder of the current snapshot, whose version never decreases."""

    def __init__(self) -> None:
        """Create a store without a snapshot."""
        self._current: Snapshot | None = None
        self._changed = asyncio.Event()

    @property
    def current(self) -> Snapshot | None:
        """Return the current snapshot, None before the first one."""
        return self._current

    @property
    def version(self) -> int:
        """Return the current version, zero before the first one."""
        return self._current.version if self._current else 0

    def install(self, snapshot: Snapshot) -> Result[None, InstallRefusal]:
        """Make a snapshot with a higher version the current one.

        A snapshot with the current version and digest changes nothing.
        """
        current = self._current
        if current is not None:
            if snapshot.version < current.version:
                return Err(OlderVersion(current.version, snapshot.version))
            if snapshot.version == current.version:
                return _compare_digests(current, snapshot)
        self._current = snapshot
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return Ok(None)

    async def wait_for_newer(self, version: int) -> Snapshot:
        """Wait for a snapshot newer than ``version`` and return it."""
        while self._current is None or self._current.version <= version:
            await self._changed.wait()
        return self._current


def _compare_digests(
    current: Snapshot, offered: Snapshot
) -> Result[None, InstallRefusal]:
    if current.digest == offered.digest:
        return Ok(None)
    return Err(ForkedVersion(current.version, current.digest, offered.digest))
