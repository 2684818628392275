"""What this daemon believes of the upstream beside it."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from wagtailline.ports import Address
from wagtailline_sidecar.gate import Gate
from wagtailline_sidecar.model import Endpoint, Snapshot
from wagtailline_sidecar.upstream import (
    ConnectionEnded,
    HealthReport,
    Upstream,
)
from wagtailline_sidecar.warm_up import WarmUp

# Pause between two health checks of an upstream in doubt.
PROBE_PERIOD_SECONDS = 0.25
PROBE_TIMEOUT_SECONDS = 1.0
# Until the endpoint has registered its slots.
_FIRST_SLOTS = 1
_DEFAULT_HEALTH_PATH = '/health'
# A reported warm-up may exceed the known one by this much and be the same:
# the entry was written before the health answer.
_REPORT_MARGIN_SECONDS = 1.0


class UpstreamConfirmed(NamedTuple):
    """Event: the upstream answered a health check after a doubt."""

    instance: str
    is_healthy: bool
    warm_up_seconds: float


class UpstreamDoubted(NamedTuple):
    """Event: the upstream may have restarted, be down or be cold."""

    reason: str
    instance: str


class LocalUpstream:
    """Service that follows the registration and health of the upstream."""

    def __init__(
        self,
        address: Address,
        data_centre: str,
        parts: 'UpstreamParts',
        observe: Callable[[NamedTuple], None],
    ) -> None:
        """Doubt the upstream until a health check."""
        self._address = address
        self._data_centre = data_centre
        self._parts = parts
        self._observe = observe
        self._endpoint: Endpoint | None = None
        self._health_path = _DEFAULT_HEALTH_PATH
        self._is_closed = False
        self._wanted = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self.is_down = False

    @property
    def refusal_reason(self) -> str:
        """Return why new requests are refused, or nothing."""
        if self._is_closed:
            return 'data_centre_closed'
        if self._endpoint is not None and not self._endpoint.is_ready:
            return 'endpoint_leaving'
        return 'upstream_down' if self.is_down else ''

    @property
    def identity(self) -> str:
        """Return the identity of the incarnation that is registered."""
        return '' if self._endpoint is None else self._endpoint.identity

    async def start(self) -> None:
        """Check the health at once."""
        self._wanted.set()
        self._task = asyncio.ensure_future(self._run())

    async def stop(self) -> None:
        """Check no more."""
        if self._task is not None:
            self._task.cancel()

    def follow(self, snapshot: Snapshot) -> None:
        """Take what is registered and published about the upstream."""
        self._follow_closing(snapshot)
        endpoint = _find_endpoint(snapshot, self._address)
        former, self._endpoint = self._endpoint, endpoint
        if endpoint is None:
            return
        warm_up = self._parts.warm_up
        if former is None or _is_restart(former, endpoint):
            self._parts.upstream.close_idle()
            self.doubt('new_incarnation')
        service = snapshot.configuration.services.get(endpoint.service)
        if service is not None:
            warm_up.limit_rate(service.warm_up_rate)
            self._health_path = service.health_path
        if self._is_newly_cold(former, endpoint):
            self.doubt('registered_cold')
        self._parts.gate.slots = max(endpoint.slots, _FIRST_SLOTS)
        self._parts.gate.dispatch()

    def note_connection(self, ended: ConnectionEnded) -> None:
        """Doubt an upstream that ended or refused a connection."""
        if ended.is_refused:
            self.is_down = True
        self.doubt('refused' if ended.is_refused else 'reset')

    def doubt(self, reason: str) -> None:
        """Treat the upstream as cold until a health check."""
        if not self._parts.warm_up.is_doubtful or not self._wanted.is_set():
            self._observe(UpstreamDoubted(reason, self.identity))
        self._parts.warm_up.doubt()
        self._wanted.set()

    def _is_newly_cold(
        self, former: Endpoint | None, endpoint: Endpoint
    ) -> bool:
        """Tell whether an entry reports a warm-up that is not known yet.

        An entry may be passed on long after it was written, so the same
        entry again says nothing of the warm-up that is left.
        """
        reported = endpoint.warm_up_left_seconds
        if former is not None and former.warm_up_left_seconds == reported:
            return False
        known = self._parts.warm_up.left_seconds
        return reported > known + _REPORT_MARGIN_SECONDS

    def _follow_closing(self, snapshot: Snapshot) -> None:
        was_closed = self._is_closed
        self._is_closed = self._data_centre in snapshot.closed_data_centres
        if was_closed and not self._is_closed:
            # Its endpoints may have become cold in the meantime.
            self.doubt('data_centre_opened')

    async def _run(self) -> None:
        while True:
            await self._wanted.wait()
            report = await self._probe()
            if report is not None:
                self._wanted.clear()
                self._accept(report)
            await asyncio.sleep(PROBE_PERIOD_SECONDS)

    async def _probe(self) -> HealthReport | None:
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
                return await self._parts.upstream.check_health(
                    self._health_path
                )
        except TimeoutError:
            return None

    def _accept(self, report: HealthReport) -> None:
        self.is_down = False
        self._parts.warm_up.confirm(report.warm_up_seconds)
        if self._parts.gate.slots == 0:
            self._parts.gate.slots = _FIRST_SLOTS
        self._observe(
            UpstreamConfirmed(
                report.instance, report.is_healthy, report.warm_up_seconds
            )
        )
        self._parts.gate.dispatch()


class UpstreamParts(NamedTuple):
    """What acts on the upstream."""

    upstream: Upstream
    gate: Gate
    warm_up: WarmUp


def _find_endpoint(snapshot: Snapshot, address: Address) -> Endpoint | None:
    """Return the latest incarnation at an address."""
    found = [one for one in snapshot.endpoints if one.address == address]
    return max(found, key=_incarnation, default=None)


def _incarnation(endpoint: Endpoint) -> tuple[int, bool]:
    return endpoint.started_ms, endpoint.is_ready


def _is_restart(former: Endpoint, endpoint: Endpoint) -> bool:
    return (
        former.identity != endpoint.identity
        or former.started_ms != endpoint.started_ms
    )
