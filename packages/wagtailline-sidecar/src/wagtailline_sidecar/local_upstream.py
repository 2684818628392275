"""Tracks registration and health of the upstream on the VM of this daemon."""

from collections.abc import Callable
from typing import NamedTuple

from wagtailline.ports import Address, MonotonicClock
from wagtailline_sidecar.gate import Gate
from wagtailline_sidecar.health_checks import HealthChecks, find_no_age
from wagtailline_sidecar.model import Endpoint, Snapshot
from wagtailline_sidecar.upstream import (
    ConnectionFailure,
    HealthReport,
    Upstream,
)
from wagtailline_sidecar.upstream_events import (
    DoubtSettled,
    UpstreamConfirmed,
    UpstreamDoubted,
    UpstreamLeaving,
)
from wagtailline_sidecar.upstream_notices import UpstreamNotice
from wagtailline_sidecar.warm_up import WarmUp

# Number of slots until the endpoint has registered its own number.
_INITIAL_SLOTS = 1
_DEFAULT_HEALTH_PATH = '/health'
# A registered warm-up that exceeds the known one by no more than this is not
# new: the registration was written before the response to the health check.
_WARM_UP_TOLERANCE_SECONDS = 1.0
# Responses that the upstream sent before it ended arrive within this time.
SURVIVAL_SECONDS = 0.05
_RESET = 'reset'


class LocalUpstream:
    """Service that tracks the registration and health of the upstream.

    While the state of the upstream is in doubt, the service checks its health
    periodically and the upstream counts as cold. It also checks the health
    without news from the source, and when the upstream gets nearly as many
    requests as it could take if it had become cold.
    """

    def __init__(
        self,
        address: Address,
        data_centre: str,
        parts: 'UpstreamParts',
        observe: Callable[[NamedTuple], None],
    ) -> None:
        """Set up a service without registration or health check so far."""
        self._address = address
        self._data_centre = data_centre
        self._parts = parts
        self._observe = observe
        self._endpoint: Endpoint | None = None
        # The last entry, also after it has expired.
        self._registered: Endpoint | None = None
        self._health_path = _DEFAULT_HEALTH_PATH
        self._is_data_centre_closed = False
        self._checks = HealthChecks(
            self._check_health,
            self._apply_report,
            parts.find_news_age,
            observe,
        )
        # An upstream may become cold at any moment, without being announced.
        parts.warm_up.on_excess = self._checks.request_early
        self._reset_at: float | None = None
        self._leaving_instance = ''
        self.is_down = False

    def find_refusal_reason(self, instance: str) -> str:
        """Return why requests for an instance are refused, or nothing.

        Senders choose an instance whose registration has ended as long as
        their snapshots are older than that of this daemon.
        """
        if self._is_data_centre_closed:
            return 'data_centre_closed'
        if self._is_leaving or self._has_ended(instance):
            return 'endpoint_leaving'
        return 'upstream_down' if self.is_down else ''

    @property
    def _is_leaving(self) -> bool:
        """Return whether the upstream leaves, by its entry or its response.

        The response says so first, and an entry that still calls the same
        incarnation ready is older.
        """
        if self._endpoint is None:
            return bool(self._leaving_instance)
        has_said_so = self._endpoint.identity == self._leaving_instance
        return has_said_so or not self._endpoint.is_ready

    def _has_ended(self, instance: str) -> bool:
        """Return whether the registration of an instance was seen to end."""
        return (
            self._endpoint is None
            and self._registered is not None
            and self._registered.identity == instance
        )

    @property
    def identity(self) -> str:
        """Return the identity of the registered incarnation, if any."""
        return '' if self._endpoint is None else self._endpoint.identity

    async def start(self) -> None:
        """Start the health checks, the first at once."""
        await self._checks.start()

    async def stop(self) -> None:
        """Stop the health checks."""
        await self._checks.stop()

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Apply the registration and configuration of the upstream."""
        self._update_data_centre(snapshot)
        endpoint = _find_endpoint(snapshot, self._address)
        previous, self._endpoint = self._endpoint, endpoint
        if endpoint is not None:
            self._follow_incarnation(endpoint)
        self._refuse_waiting()
        if endpoint is None:
            return
        warm_up = self._parts.warm_up
        if previous is None or previous.incarnation != endpoint.incarnation:
            self._parts.upstream.close_idle()
            self.mark_doubtful('new_incarnation')
        service = snapshot.configuration.services.get(endpoint.service)
        if service is not None:
            warm_up.limit_rate(service.warm_up_rate)
            self._health_path = service.health_path
        if self._is_newly_cold(previous, endpoint):
            self.mark_doubtful('registered_cold')
        self._parts.gate.slots = max(endpoint.slots, _INITIAL_SLOTS)
        self._parts.gate.dispatch()

    def _follow_incarnation(self, endpoint: Endpoint) -> None:
        """Forget what an earlier incarnation said of itself."""
        registered, self._registered = self._registered, endpoint
        self._parts.gate.rate_limit.follow(endpoint.identity)
        if (
            registered is not None
            and registered.incarnation != endpoint.incarnation
        ):
            if registered.identity == endpoint.identity:
                self._parts.gate.rate_limit.forget()
            if self._leaving_instance == registered.identity:
                self._leaving_instance = ''

    def _refuse_waiting(self) -> None:
        """Refuse the waiting requests if the upstream gets no more of them.

        A request may wait for longer than a leaving upstream may get any.
        """
        instance = '' if self._registered is None else self._registered.identity
        if (
            self._is_data_centre_closed
            or self._is_leaving
            or self._has_ended(instance)
        ):
            reason = self.find_refusal_reason(instance)
            self._parts.gate.refuse_waiting(reason)

    def note_connection_failure(self, failure: ConnectionFailure) -> None:
        """Mark the upstream as doubtful after a connection failure.

        After a refused connection it also counts as down.
        """
        if failure.is_refused:
            self.is_down = True
        self.mark_doubtful('refused' if failure.is_refused else _RESET)

    def note_answer(self, opened_at: float) -> None:
        """End a doubt after a reset if an older connection is still in use.

        An upstream that has restarted has lost all its connections.
        """
        if self._reset_at is None or opened_at >= self._reset_at:
            return
        now = self._parts.clock.monotonic()
        if now - self._reset_at < SURVIVAL_SECONDS:
            return
        self._reset_at = None
        self._checks.cancel()
        self._parts.warm_up.settle()
        self._observe(DoubtSettled(self.identity))
        self._parts.gate.dispatch()

    def apply_notice(self, notice: UpstreamNotice) -> None:
        """Apply what the upstream says of itself in a response."""
        self._parts.gate.rate_limit.apply(notice)
        if notice.is_leaving and notice.instance != self._leaving_instance:
            self._leaving_instance = notice.instance
            self._observe(UpstreamLeaving(notice.instance))
            self._refuse_waiting()

    def mark_doubtful(self, reason: str) -> None:
        """Treat the upstream as cold until it responds to a health check."""
        is_certain = not self._parts.warm_up.is_doubtful
        if reason != _RESET:
            self._reset_at = None
        elif is_certain or self._reset_at is not None:
            self._reset_at = self._parts.clock.monotonic()
        if not self._parts.warm_up.is_doubtful or not self._checks.is_requested:
            self._observe(UpstreamDoubted(reason, self.identity))
        self._parts.warm_up.mark_doubtful()
        self._checks.request()

    def _is_newly_cold(
        self, previous: Endpoint | None, endpoint: Endpoint
    ) -> bool:
        """Return whether a registration reports a new warm-up.

        An entry may arrive long after it was written, so a repeated entry says
        nothing about the time that is left of the warm-up.
        """
        registered_seconds = endpoint.warm_up_left_seconds
        if (
            previous is not None
            and previous.warm_up_left_seconds == registered_seconds
        ):
            return False
        known_seconds = self._parts.warm_up.remaining_seconds
        return registered_seconds > known_seconds + _WARM_UP_TOLERANCE_SECONDS

    def _update_data_centre(self, snapshot: Snapshot) -> None:
        was_closed = self._is_data_centre_closed
        self._is_data_centre_closed = (
            self._data_centre in snapshot.closed_data_centres
        )
        if was_closed and not self._is_data_centre_closed:
            # The endpoints may have become cold while the data centre was
            # closed.
            self.mark_doubtful('data_centre_opened')

    async def _check_health(self) -> HealthReport | None:
        return await self._parts.upstream.check_health(self._health_path)

    def _apply_report(self, report: HealthReport) -> None:
        self.is_down = False
        self._reset_at = None
        self._parts.warm_up.confirm(report.warm_up_seconds)
        if self._parts.gate.slots == 0:
            self._parts.gate.slots = _INITIAL_SLOTS
        self._observe(
            UpstreamConfirmed(
                report.instance, report.is_healthy, report.warm_up_seconds
            )
        )
        self._parts.gate.dispatch()


class UpstreamParts(NamedTuple):
    """Client, gate and rate limit of the local upstream, and their clock.

    ``find_news_age`` returns the age of the last news in seconds.
    """

    upstream: Upstream
    gate: Gate
    warm_up: WarmUp
    clock: MonotonicClock
    find_news_age: Callable[[], float] = find_no_age


def _find_endpoint(snapshot: Snapshot, address: Address) -> Endpoint | None:
    """Return the latest incarnation at an address, or None."""
    found = [
        endpoint
        for endpoint in snapshot.endpoints
        if endpoint.address == address
    ]
    return max(found, key=_incarnation_order, default=None)


def _incarnation_order(endpoint: Endpoint) -> tuple[int, bool]:
    return endpoint.started_ms, endpoint.is_ready
