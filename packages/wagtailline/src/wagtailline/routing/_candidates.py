"""Endpoints that may run a call, grouped by network distance."""

from typing import NamedTuple

from wagtailline.executions import placement_key
from wagtailline.objects import DataCentre, Endpoint
from wagtailline.placement import find_owner
from wagtailline.snapshot import Snapshot


class LocalEndpoint(NamedTuple):
    """The endpoint that this daemon serves, and its data centre."""

    endpoint: str
    data_centre: str


class Candidates(NamedTuple):
    """Endpoints of one service that take new calls, nearest group first.

    ``local`` is the endpoint of this daemon, if it belongs to the service;
    it is also part of ``same_data_centre``.
    """

    local: Endpoint | None
    same_data_centre: tuple[Endpoint, ...]
    same_region: tuple[Endpoint, ...]
    other_regions: tuple[Endpoint, ...]


class CandidateTable:
    """Candidates of each service in one snapshot, grouped on first use."""

    def __init__(self, snapshot: Snapshot, position: LocalEndpoint) -> None:
        """Create an empty table for a snapshot.

        Distance is measured from the local endpoint and its data centre.
        """
        self.snapshot = snapshot
        self._position = position
        self._region = _region(snapshot, position.data_centre)
        self._by_service: dict[str, Candidates] = {}

    def find(self, service: str) -> Candidates:
        """Return the candidates for a service."""
        candidates = self._by_service.get(service)
        if candidates is None:
            candidates = self._group(service)
            self._by_service[service] = candidates
        return candidates

    def _group(self, service: str) -> Candidates:
        local = None
        same_data_centre: list[Endpoint] = []
        same_region: list[Endpoint] = []
        other_regions: list[Endpoint] = []
        for endpoint in endpoints_in_service(self.snapshot, service):
            if endpoint.name == self._position.endpoint:
                local = endpoint
            if endpoint.data_centre == self._position.data_centre:
                same_data_centre.append(endpoint)
            elif _region(self.snapshot, endpoint.data_centre) == self._region:
                same_region.append(endpoint)
            else:
                other_regions.append(endpoint)
        return Candidates(
            local,
            tuple(same_data_centre),
            tuple(same_region),
            tuple(other_regions),
        )


def endpoints_in_service(
    snapshot: Snapshot, service: str
) -> tuple[Endpoint, ...]:
    """Return the endpoints of a service that take new calls."""
    return tuple(
        endpoint
        for endpoint in snapshot.endpoints_of(service)
        if snapshot.is_in_service(endpoint)
    )


def find_key_owner(
    snapshot: Snapshot, service: str, account: str, idempotency_key: str
) -> str | None:
    """Return the name of the endpoint that owns an idempotency key.

    The owner keeps the record of the call with this key. Return None if the
    service has no endpoint that takes new calls.
    """
    endpoints = endpoints_in_service(snapshot, service)
    return find_owner(
        placement_key(account, idempotency_key),
        (endpoint.name for endpoint in endpoints),
    )


def _region(snapshot: Snapshot, name: str) -> str:
    data_centre = snapshot.objects.get(('data_centres', name))
    return data_centre.region if isinstance(data_centre, DataCentre) else ''
