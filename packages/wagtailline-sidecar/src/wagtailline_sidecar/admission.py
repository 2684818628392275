"""Decides whether and as whom a request may run."""

from collections.abc import Callable
from typing import NamedTuple

from result import Err, Ok, Result

from wagtailline.calls import Headers, Refusal
from wagtailline_sidecar.header_names import HeaderNames
from wagtailline_sidecar.http_messages import find_header
from wagtailline_sidecar.model import ClientAccount, Route, Snapshot
from wagtailline_sidecar.quotas import Quotas
from wagtailline_sidecar.routing import RouteTable
from wagtailline_sidecar.server_connection import IncomingRequest
from wagtailline_sidecar.snapshot import SnapshotStore

# Unknown names are denied for good only while the snapshot is this young.
FRESH_SECONDS = 3.0
# Part of their timeout within which requests on open routes are wanted.
_OPEN_ROUTE_PATIENCE = 0.5
_BEARER = b'bearer'
_MILLISECONDS = 1000


class Admitted(NamedTuple):
    """A request that may run; ``deadline`` and ``target`` are monotonic.

    A nested request was made by an upstream while it runs another one.
    """

    snapshot: Snapshot
    route: Route
    account: ClientAccount | None
    identity: str
    priority: int
    deadline: float
    target: float
    is_nested: bool = False


class Admission:
    """Checks route, key, age of the snapshot and quota, in this order."""

    def __init__(
        self,
        snapshots: SnapshotStore,
        quotas: Quotas,
        names: HeaderNames,
        key_proof_seconds: Callable[[], float],
    ) -> None:
        """Refuse keys when the snapshot is older than the proof allows."""
        self._snapshots = snapshots
        self._quotas = quotas
        self._names = names
        self._key_proof_seconds = key_proof_seconds

    async def admit(
        self, request: IncomingRequest
    ) -> Result[Admitted, Refusal]:
        """Return what the request may do, or why it may not run."""
        snapshot, table = self._snapshots.current, self._snapshots.table
        if snapshot is None or table is None:
            return Err(Refusal('no_picture', 'no'))
        host = find_header(request.headers, b'host') or b''
        route = table.find_route(host.decode('latin-1'), request.target)
        if route is None:
            return Err(self._deny('route_missing'))
        if route.is_public or not table.has_accounts:
            return await self._admit(request, snapshot, route, None)
        match self._identify(request.headers, table):
            case Ok(account):
                return await self._admit(request, snapshot, route, account)
            case Err(refusal):
                return Err(refusal)

    async def _admit(
        self,
        request: IncomingRequest,
        snapshot: Snapshot,
        route: Route,
        account: ClientAccount | None,
    ) -> Result[Admitted, Refusal]:
        if account is not None:
            wait = await self._quotas.take(account)
            if wait > 0:
                wait_ms = int(wait * _MILLISECONDS)
                inputs = f'{account.name}:{self._quotas.describe(account)}'
                return Err(Refusal('quota_exhausted', 'no', wait_ms, inputs))
        names = self._names
        seconds = route.timeout_seconds
        asked = find_header(request.headers, names.deadline_ms)
        if asked is not None and asked.isdigit():
            seconds = min(seconds, int(asked) / _MILLISECONDS)
        identity = find_header(request.headers, names.request_id) or b''
        priority = route.priority
        if account is not None and account.priority is not None:
            priority = account.priority
        return Ok(
            Admitted(
                snapshot,
                route,
                account,
                identity.decode('latin-1'),
                priority,
                request.arrived_at + seconds,
                request.arrived_at + min(self._target(route, account), seconds),
                is_nested=(
                    account is None and bool(snapshot.configuration.accounts)
                ),
            )
        )

    def _target(self, route: Route, account: ClientAccount | None) -> float:
        """Return the latency to aim at, in seconds.

        Open routes carry the calls of upstreams. A refused call wastes the
        slot of the request that made it, and a slow one holds that slot, so
        it may wait for a part of its time.
        """
        if account is not None:
            return route.target_seconds
        patience = route.timeout_seconds * _OPEN_ROUTE_PATIENCE
        return max(route.target_seconds, patience)

    def _identify(
        self, headers: Headers, table: RouteTable
    ) -> Result[ClientAccount, Refusal]:
        field = find_header(headers, self._names.authorization) or b''
        scheme, _, key = field.partition(b' ')
        if scheme.lower() != _BEARER or not key.strip():
            return Err(Refusal('key_missing', 'no'))
        if self._snapshots.age_seconds > self._key_proof_seconds():
            return Err(Refusal('picture_stale', 'no'))
        account = table.find_account(key.strip().decode('latin-1'))
        if account is None:
            return Err(self._deny('key_unknown'))
        return Ok(account)

    def _deny(self, reason: str) -> Refusal:
        """Deny for good only what a current snapshot does not hold."""
        if self._snapshots.age_seconds > FRESH_SECONDS:
            return Refusal('picture_stale', 'no')
        return Refusal(reason, 'no')
