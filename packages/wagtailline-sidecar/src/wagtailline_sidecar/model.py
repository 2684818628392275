"""Configuration and endpoint types that routing decisions are based on."""

import enum
from collections.abc import Mapping
from typing import NamedTuple

from wagtailline.ports import Address
from wagtailline_sidecar.field_types import (
    Count,
    Identity,
    Integer,
    Name,
    Rate,
    Seconds,
    Slots,
    Timestamp,
    WarmUpSeconds,
)
from wagtailline_sidecar.source_revision import (
    ConfigurationVersion,
    SourceRevision,
)


class RequestKind(enum.Enum):
    """Kind of request that an operator declares a route to carry.

    It determines whether the requests of the route may be retried.
    """

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    DOWNLOAD = 'download'

    @property
    def is_retryable(self) -> bool:
        """Return whether a request may be executed more than once."""
        return self is not RequestKind.UNSAFE


class ServiceWeight(NamedTuple):
    """Weighted share of a route's requests that is sent to one service."""

    service: str
    weight: Rate


class Route(NamedTuple):
    """Mapping of a host and path prefix to the services that handle it.

    ``target_seconds`` is the latency objective; a request that takes longer
    than ``timeout_seconds`` fails. A lower ``priority`` is more urgent.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    service_weights: tuple[ServiceWeight, ...]
    timeout_seconds: Seconds
    target_seconds: Seconds
    max_attempts: Count
    priority: Integer
    is_public: bool


class Service(NamedTuple):
    """Settings shared by all endpoints of a service.

    An endpoint handles at most ``warm_up_rate`` requests per second during
    the first ``warm_up_seconds`` after its start.
    """

    name: str
    health_path: str
    max_connections: Count
    warm_up_seconds: Seconds
    warm_up_rate: Rate


class ClientAccount(NamedTuple):
    """Account of a client; a rate of zero means that it is not limited.

    A ``priority`` overrides that of the route.
    """

    name: str
    keys: frozenset[str]
    rate: Rate
    burst: Rate
    priority: Integer | None


class IngressLimits(NamedTuple):
    """Size limits for client requests and timeouts for client connections."""

    head_bytes: Count = 16 * 1024
    body_bytes: Count = 64 * 1024 * 1024
    head_timeout_seconds: Seconds = 3.0
    idle_timeout_seconds: Seconds = 15.0


class Configuration(NamedTuple):
    """One published version of the whole configuration.

    ``era`` is that of the source when it was read.
    """

    version: Count
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    accounts: Mapping[str, ClientAccount]
    limits: IngressLimits
    era: Count = 0

    @property
    def order(self) -> ConfigurationVersion:
        """Return what tells whether another configuration is later."""
        return ConfigurationVersion(self.version, self.era)


class Incarnation(NamedTuple):
    """One run of an upstream, which may reuse the identity of an earlier one.

    ``started_ms`` is the Unix time of its start in milliseconds.
    """

    identity: str
    started_ms: int


class Endpoint(NamedTuple):
    """One incarnation of an upstream, as it registered itself.

    An upstream usually has a new ``identity`` after a restart;
    ``started_ms`` distinguishes incarnations that reuse an identity.
    """

    identity: Identity
    service: Name
    address: Address
    data_centre: Name
    slots: Slots
    is_ready: bool
    warm_up_left_seconds: WarmUpSeconds
    started_ms: Timestamp

    @property
    def incarnation(self) -> Incarnation:
        """Return what tells this run of the upstream from others."""
        return Incarnation(self.identity, self.started_ms)


class Snapshot(NamedTuple):
    """Immutable view of the configuration, endpoints and closed data centres.

    A change replaces the snapshot as a whole. ``closed_data_centres`` receive
    no new requests. ``revision`` orders the readings of the source.
    """

    revision: SourceRevision
    configuration: Configuration
    endpoints: tuple[Endpoint, ...]
    closed_data_centres: frozenset[str]
