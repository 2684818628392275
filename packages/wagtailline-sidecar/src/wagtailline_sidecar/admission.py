"""Admission of requests by route, client account and quota."""

import math
import re
from collections.abc import Callable
from typing import NamedTuple

from result import Err, Ok, Result

from wagtailline.calls import Headers, Refusal
from wagtailline.ports import MonotonicClock
from wagtailline_sidecar.header_names import HeaderNames
from wagtailline_sidecar.http_messages import find_header
from wagtailline_sidecar.model import ClientAccount, Route, Snapshot
from wagtailline_sidecar.quotas import Quotas
from wagtailline_sidecar.routing import RouteTable
from wagtailline_sidecar.server_connection import IncomingRequest
from wagtailline_sidecar.snapshot import SnapshotStore

# Latency target of requests without an account, as a fraction of their timeout.
_NO_ACCOUNT_TARGET_FRACTION = 0.5
# Part of its target that a request may wait for the processor of this daemon.
# Refusing a request costs much less than forwarding it, so the queue drains.
_MAX_START_DELAY_FRACTION = 0.5
_BEARER = b'bearer'
_MILLISECONDS = re.compile(b'[0-9]{1,15}')
_MILLISECONDS_PER_SECOND = 1000


class Admitted(NamedTuple):
    """Request that may run.

    ``deadline`` and ``target_time`` are monotonic times in seconds;
    ``target_time`` is when the response should be complete. A nested request
    is one that an upstream sends while it runs another request.
    """

    snapshot: Snapshot
    route: Route
    account: ClientAccount | None
    request_id: str
    priority: int
    deadline: float
    target_time: float
    is_nested: bool = False


def _never() -> float:
    return math.inf


class Admission:
    """Check of route, key, age of the snapshot, delay and quota, in order."""

    def __init__(
        self,
        snapshots: SnapshotStore,
        quotas: Quotas,
        names: HeaderNames,
        clock: MonotonicClock,
        max_key_snapshot_age_seconds: Callable[[], float],
        max_denial_snapshot_age_seconds: Callable[[], float],
        stops_at: Callable[[], float] = _never,
    ) -> None:
        """Set up the checks.

        Requests with a key are refused while the snapshot is older than
        ``max_key_snapshot_age_seconds``, since the key may have been withdrawn.
        Routes and keys count as unknown only while it is at most
        ``max_denial_snapshot_age_seconds`` old, since an older one may lack
        recent additions. Requests that may last beyond ``stops_at``, a time of
        the event loop, are refused: the daemon then stops. So are requests that
        have waited long for the processor of this daemon.
        """
        self._clock = clock
        self._stops_at = stops_at
        self._max_denial_snapshot_age_seconds = max_denial_snapshot_age_seconds
        self._snapshots = snapshots
        self._quotas = quotas
        self._names = names
        self._max_key_snapshot_age_seconds = max_key_snapshot_age_seconds

    async def admit(
        self, request: IncomingRequest
    ) -> Result[Admitted, Refusal]:
        """Return the admitted request, or the refusal."""
        snapshot, table = self._snapshots.current, self._snapshots.route_table
        if snapshot is None or table is None:
            return Err(Refusal('no_picture', 'no'))
        host = find_header(request.headers, b'host') or b''
        route = table.find_route(host.decode('latin-1'), request.target)
        if route is None:
            return Err(self._deny('route_missing'))
        if route.is_public or not table.has_accounts:
            return await self._admit_on_route(request, snapshot, route, None)
        match self._identify(request.headers, table):
            case Ok(account):
                return await self._admit_on_route(
                    request, snapshot, route, account
                )
            case Err(refusal):
                return Err(refusal)

    async def _admit_on_route(
        self,
        request: IncomingRequest,
        snapshot: Snapshot,
        route: Route,
        account: ClientAccount | None,
    ) -> Result[Admitted, Refusal]:
        timeout_seconds = self._timeout_seconds(request, route)
        if request.arrived_at + timeout_seconds > self._stops_at():
            return Err(Refusal('daemon_stopping', 'no'))
        target_seconds = self._target_seconds(route, account)
        delay_seconds = self._clock.monotonic() - request.arrived_at
        if delay_seconds > target_seconds * _MAX_START_DELAY_FRACTION:
            delay_ms = int(delay_seconds * _MILLISECONDS_PER_SECOND)
            return Err(Refusal('daemon_busy', 'no', delay_ms))
        if account is not None:
            wait_seconds = await self._quotas.take_token(account)
            if wait_seconds > 0:
                wait_ms = int(wait_seconds * _MILLISECONDS_PER_SECOND)
                quota_inputs = (
                    f'{account.name}:{self._quotas.describe(account)}'
                )
                return Err(
                    Refusal('quota_exhausted', 'no', wait_ms, quota_inputs)
                )
        request_id = find_header(request.headers, self._names.request_id) or b''
        priority = route.priority
        if account is not None and account.priority is not None:
            priority = account.priority
        return Ok(
            Admitted(
                snapshot,
                route,
                account,
                request_id.decode('latin-1'),
                priority,
                request.arrived_at + timeout_seconds,
                request.arrived_at + min(target_seconds, timeout_seconds),
                is_nested=(
                    account is None and bool(snapshot.configuration.accounts)
                ),
            )
        )

    def _timeout_seconds(self, request: IncomingRequest, route: Route) -> float:
        timeout_seconds = route.timeout_seconds
        header = find_header(request.headers, self._names.timeout_ms)
        if header is None or not _MILLISECONDS.fullmatch(header):
            return timeout_seconds
        return min(timeout_seconds, int(header) / _MILLISECONDS_PER_SECOND)

    def _target_seconds(
        self, route: Route, account: ClientAccount | None
    ) -> float:
        """Return the latency target in seconds.

        Requests without an account are calls of upstreams on public routes.
        A refused call wastes the slot of the request that made it, and a
        slow one keeps that slot occupied, so these calls may be queued, but
        only for a fraction of their timeout.
        """
        if account is not None:
            return route.target_seconds
        fraction_seconds = route.timeout_seconds * _NO_ACCOUNT_TARGET_FRACTION
        return max(route.target_seconds, fraction_seconds)

    def _identify(
        self, headers: Headers, table: RouteTable
    ) -> Result[ClientAccount, Refusal]:
        credentials = find_header(headers, self._names.authorization) or b''
        scheme, _, key = credentials.partition(b' ')
        if scheme.lower() != _BEARER or not key.strip():
            return Err(Refusal('key_missing', 'no'))
        if self._snapshots.age_seconds > self._max_key_snapshot_age_seconds():
            return Err(Refusal('picture_stale', 'no'))
        account = table.find_account(key.strip().decode('latin-1'))
        if account is None:
            return Err(self._deny('key_unknown'))
        return Ok(account)

    def _deny(self, reason: str) -> Refusal:
        """Return a refusal with ``reason`` if the snapshot is recent enough."""
        max_age_seconds = self._max_denial_snapshot_age_seconds()
        if self._snapshots.age_seconds > max_age_seconds:
            return Refusal('picture_stale', 'no')
        return Refusal(reason, 'no')
