"""Endpoints of each service that may get requests."""

from typing import NamedTuple

from wagtailline_sidecar.leaving_endpoints import LeavingEndpoints
from wagtailline_sidecar.model import Endpoint, Snapshot


class ServiceEndpoints(NamedTuple):
    """Endpoints of a service in this data centre and in the others."""

    local: list[Endpoint]
    remote: list[Endpoint]


_NO_ENDPOINTS = ServiceEndpoints([], [])


class EndpointIndex:
    """Index of the endpoints by service, which is made once a snapshot."""

    def __init__(self, data_centre: str, leaving: LeavingEndpoints) -> None:
        """Set up an index for a data centre; leave out what is ``leaving``."""
        self._data_centre = data_centre
        self._leaving = leaving
        self._snapshot: Snapshot | None = None
        self._services: dict[str, ServiceEndpoints] = {}

    def find(self, snapshot: Snapshot, service: str) -> ServiceEndpoints:
        """Return the endpoints of a service that may get requests."""
        if self._snapshot is not snapshot:
            self._snapshot = snapshot
            self._services = self._build(snapshot)
        return self._services.get(service, _NO_ENDPOINTS)

    def reset(self) -> None:
        """Make the index again, as other endpoints leave."""
        self._snapshot = None

    def _build(self, snapshot: Snapshot) -> dict[str, ServiceEndpoints]:
        services: dict[str, ServiceEndpoints] = {}
        for endpoint in snapshot.endpoints:
            is_closed = endpoint.data_centre in snapshot.closed_data_centres
            if is_closed or not endpoint.is_ready or endpoint in self._leaving:
                continue
            endpoints = services.setdefault(
                endpoint.service, ServiceEndpoints([], [])
            )
            is_local = endpoint.data_centre == self._data_centre
            (endpoints.local if is_local else endpoints.remote).append(endpoint)
        return services
