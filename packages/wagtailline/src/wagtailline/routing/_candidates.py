"""Gates that may run a call, nearest first."""

from typing import NamedTuple

from wagtailline.executions import placement_key
from wagtailline.objects import DataCentre, Endpoint
from wagtailline.placement import owner
from wagtailline.snapshot import Snapshot


class Position(NamedTuple):
    """The endpoint of this daemon and its data centre."""

    endpoint: str
    data_centre: str


class Candidates(NamedTuple):
    """Endpoints in service, by distance from this daemon."""

    own: Endpoint | None
    data_centre: tuple[Endpoint, ...]
    region: tuple[Endpoint, ...]
    elsewhere: tuple[Endpoint, ...]


class CandidateTable:
    """Candidates for each service in one snapshot."""

    def __init__(self, snapshot: Snapshot, position: Position) -> None:
        """Group endpoints when a service is first asked for."""
        self.snapshot = snapshot
        self._position = position
        self._region = _region(snapshot, position.data_centre)
        self._services: dict[str, Candidates] = {}

    def find(self, service: str) -> Candidates:
        """Return the candidates for a service."""
        found = self._services.get(service)
        if found is None:
            found = self._group(service)
            self._services[service] = found
        return found

    def _group(self, service: str) -> Candidates:
        own = None
        near: list[Endpoint] = []
        region: list[Endpoint] = []
        elsewhere: list[Endpoint] = []
        for endpoint in endpoints_in_service(self.snapshot, service):
            if endpoint.name == self._position.endpoint:
                own = endpoint
            if endpoint.data_centre == self._position.data_centre:
                near.append(endpoint)
            elif _region(self.snapshot, endpoint.data_centre) == self._region:
                region.append(endpoint)
            else:
                elsewhere.append(endpoint)
        return Candidates(own, tuple(near), tuple(region), tuple(elsewhere))


def endpoints_in_service(
    snapshot: Snapshot, service: str
) -> tuple[Endpoint, ...]:
    """Return the endpoints of a service that take new work."""
    return tuple(
        endpoint
        for endpoint in snapshot.endpoints_of(service)
        if snapshot.is_in_service(endpoint)
    )


def key_position(
    snapshot: Snapshot, service: str, account: str, idempotency_key: str
) -> str | None:
    """Return the endpoint that keeps the record of an idempotency key.

    None when the service has no endpoint in service.
    """
    endpoints = endpoints_in_service(snapshot, service)
    return owner(
        placement_key(account, idempotency_key),
        (endpoint.name for endpoint in endpoints),
    )


def _region(snapshot: Snapshot, name: str) -> str:
    found = snapshot.objects.get(('data_centres', name))
    return found.region if isinstance(found, DataCentre) else ''
