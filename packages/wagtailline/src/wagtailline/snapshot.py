"""The configuration in force in one process."""

import asyncio
from collections import defaultdict
from typing import NamedTuple

from result import Err, Ok, Result

from wagtailline.objects import (
    ClientAccount,
    DataCentre,
    Endpoint,
    Key,
    Limit,
    ObjectMap,
    Route,
)


class Snapshot:
    """One immutable version with the indexes that requests need."""

    def __init__(self, version: int, digest: bytes, objects: ObjectMap) -> None:
        """Index a set that has been checked as a whole."""
        self.version = version
        self.digest = digest
        self.objects = objects
        self._accounts_by_key: dict[str, str] = {}
        self._routes: list[Route] = []
        self._endpoints: dict[str, list[Endpoint]] = defaultdict(list)
        for published in objects.values():
            match published:
                case Key():
                    self._accounts_by_key[published.digest] = (
                        published.client_account
                    )
                case Route():
                    self._routes.append(published)
                case Endpoint():
                    self._endpoints[published.service].append(published)
        self._routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def account_of_key(self, digest: str) -> ClientAccount | None:
        """Return the account that a key digest belongs to."""
        name = self._accounts_by_key.get(digest)
        if name is None:
            return None
        found = self.objects.get(('client_accounts', name))
        return found if isinstance(found, ClientAccount) else None

    def match_route(self, path: str) -> Route | None:
        """Return the route with the longest prefix of the path."""
        for route in self._routes:
            if _has_prefix(path, route.prefix):
                return route
        return None

    def endpoints_of(self, service: str) -> tuple[Endpoint, ...]:
        """Return all endpoints of a service, in or out of service."""
        return tuple(self._endpoints.get(service, ()))

    def find_endpoint(self, name: str) -> Endpoint | None:
        """Return the endpoint of this name."""
        found = self.objects.get(('endpoints', name))
        return found if isinstance(found, Endpoint) else None

    def find_limit(self, name: str) -> Limit | None:
        """Return the limit of this name."""
        found = self.objects.get(('limits', name))
        return found if isinstance(found, Limit) else None

    def find_account(self, name: str) -> ClientAccount | None:
        """Return the client account of this name."""
        found = self.objects.get(('client_accounts', name))
        return found if isinstance(found, ClientAccount) else None

    def is_in_service(self, endpoint: Endpoint) -> bool:
        """Tell whether the endpoint and its data centre take new work."""
        found = self.objects.get(('data_centres', endpoint.data_centre))
        return (
            endpoint.in_service
            and isinstance(found, DataCentre)
            and found.in_service
        )


class OlderVersion(NamedTuple):
    """The offered version is not above the one in force."""

    current: int
    offered: int


class ForkedVersion(NamedTuple):
    """The version in force was offered again with another digest."""

    version: int
    current: bytes
    offered: bytes


InstallRefusal = OlderVersion | ForkedVersion


class SnapshotStore:
    """Holds the snapshot in force; it only ever moves forward."""

    def __init__(self) -> None:
        """Begin without a snapshot."""
        self._current: Snapshot | None = None
        self._changed = asyncio.Event()

    @property
    def current(self) -> Snapshot | None:
        """Return the snapshot in force, None before the first one."""
        return self._current

    @property
    def version(self) -> int:
        """Return the version in force, zero before the first one."""
        return self._current.version if self._current else 0

    def install(self, snapshot: Snapshot) -> Result[None, InstallRefusal]:
        """Put a higher version in force at once."""
        current = self._current
        if current is not None:
            if snapshot.version < current.version:
                return Err(OlderVersion(current.version, snapshot.version))
            if snapshot.version == current.version:
                return _compare_equal(current, snapshot)
        self._current = snapshot
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return Ok(None)

    async def wait_newer(self, version: int) -> Snapshot:
        """Return the snapshot in force once it is above the version."""
        while self._current is None or self._current.version <= version:
            await self._changed.wait()
        return self._current


def _compare_equal(
    current: Snapshot, offered: Snapshot
) -> Result[None, InstallRefusal]:
    if current.digest == offered.digest:
        return Ok(None)
    return Err(ForkedVersion(current.version, current.digest, offered.digest))


def _has_prefix(path: str, prefix: str) -> bool:
    if not path.startswith(prefix):
        return False
    return (
        prefix.endswith('/')
        or len(path) == len(prefix)
        or path[len(prefix)] in '/?'
    )
