"""Types of what a daemon knows about the mesh."""

import enum
from collections.abc import Mapping
from typing import NamedTuple

from wagtailline.ports import Address


class RequestKind(enum.Enum):
    """What may be repeated, as the operator declares it for a route."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    DOWNLOAD = 'download'

    @property
    def is_repeatable(self) -> bool:
        """Tell whether a request may run more than once."""
        return self is not RequestKind.UNSAFE


class Share(NamedTuple):
    """Part of a route's requests that goes to one service."""

    service: str
    weight: float


class Route(NamedTuple):
    """Sends requests for a host and path prefix to its services.

    ``target_seconds`` is the latency that operators aim at,
    ``timeout_seconds`` the longest that a request may be kept. A lower
    ``priority`` is more urgent.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    shares: tuple[Share, ...]
    timeout_seconds: float
    target_seconds: float
    max_attempts: int
    priority: int
    is_public: bool


class Service(NamedTuple):
    """What holds for every endpoint of a service.

    A cold endpoint bears ``warm_up_rate`` requests per second, for
    ``warm_up_seconds`` after its start.
    """

    name: str
    health_path: str
    max_connections: int
    warm_up_seconds: float
    warm_up_rate: float


class ClientAccount(NamedTuple):
    """A client account; a rate of zero means no limit.

    A ``priority`` goes before the one of the route.
    """

    name: str
    keys: frozenset[str]
    rate: float
    burst: float
    priority: int | None


class IngressLimits(NamedTuple):
    """What a client may send, and how long it may take or stay idle."""

    head_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    head_timeout_seconds: float = 3.0
    idle_timeout_seconds: float = 15.0


class Configuration(NamedTuple):
    """One published version, whole."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    accounts: Mapping[str, ClientAccount]
    limits: IngressLimits


class Endpoint(NamedTuple):
    """One incarnation of an upstream, as it registered itself.

    ``identity`` is new at most starts; ``started_ms`` tells starts with the
    same identity apart.
    """

    identity: str
    service: str
    address: Address
    data_centre: str
    slots: int
    is_ready: bool
    warm_up_left_seconds: float
    started_ms: int


class Snapshot(NamedTuple):
    """Everything that a decision rests on; immutable, replaced as a whole.

    ``closed_data_centres`` get no new work. ``revision`` orders readings of
    the source.
    """

    revision: int
    configuration: Configuration
    endpoints: tuple[Endpoint, ...]
    closed_data_centres: frozenset[str]
