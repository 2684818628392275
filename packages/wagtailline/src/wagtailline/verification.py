"""The gate's own check of a forwarded call against its snapshot.

Sender and gate both check, so a revoked key, a removed route or a drained
data centre takes effect as soon as either of them knows of it.
"""

import asyncio
from typing import Any, Protocol

from result import Err, Ok, Result

from wagtailline.calls import CallRequest, Refusal
from wagtailline.objects import Endpoint, Route
from wagtailline.snapshot import Snapshot, SnapshotStore

CATCH_UP_SECONDS = 0.5
RETRY_AFTER_MS = 500

Verdict = Result[Snapshot, Refusal]


class SnapshotCurrency(Protocol):
    """Tells how current the snapshot in force is, and makes it so."""

    @property
    def is_ready(self) -> bool:
        """Tell whether the snapshot in force may be relied on."""

    async def wait_ready(self, seconds: float) -> Result[None, Any]:
        """Wait until the snapshot may be relied on, at most the time."""

    def age_seconds(self) -> float | None:
        """Return the time since a source read confirmed the snapshot."""

    def request_version(self, endpoint: str, version: int) -> None:
        """Fetch a version that the process at the endpoint holds."""


class CallVerifier:
    """Checks calls that arrive for one endpoint."""

    def __init__(
        self,
        endpoint: str,
        store: SnapshotStore,
        currency: SnapshotCurrency,
        max_age_seconds: float | None = None,
    ) -> None:
        """Check for the endpoint that this process holds.

        Without a maximal age, a snapshot stays in use however long the
        source has not confirmed it.
        """
        self._endpoint = endpoint
        self._store = store
        self._currency = currency
        self._max_age_seconds = max_age_seconds

    async def verify(self, request: CallRequest) -> Verdict:
        """Return the snapshot that admits the call.

        Every refusal is "not run". A process that has just resumed, or
        holds an older version than the sender, catches up first, for at
        most ``CATCH_UP_SECONDS`` each.
        """
        if not self._currency.is_ready:
            confirmed = await self._currency.wait_ready(CATCH_UP_SECONDS)
            if confirmed.is_err():
                return Err(_refuse('not_confirmed'))
        if self._store.version < request.version:
            await self._wait_for(request)
        snapshot = self._store.current
        if snapshot is None or snapshot.version < request.version:
            return Err(_refuse('snapshot_behind'))
        if self._is_too_old():
            return Err(_refuse('snapshot_too_old'))
        return check_call(snapshot, request, self._endpoint)

    async def _wait_for(self, request: CallRequest) -> None:
        self._currency.request_version(request.sender, request.version)
        try:
            async with asyncio.timeout(CATCH_UP_SECONDS):
                await self._store.wait_newer(request.version - 1)
        except TimeoutError:
            return

    def _is_too_old(self) -> bool:
        if self._max_age_seconds is None:
            return False
        age = self._currency.age_seconds()
        return age is None or age > self._max_age_seconds


def check_call(
    snapshot: Snapshot, request: CallRequest, own_endpoint: str
) -> Verdict:
    """Check a call against one snapshot, without waiting."""
    endpoint = snapshot.find_endpoint(own_endpoint)
    route = snapshot.objects.get(('routes', request.route))
    if endpoint is None or request.endpoint != own_endpoint:
        return Err(_refuse('wrong_endpoint'))
    if not snapshot.is_in_service(endpoint):
        return Err(_refuse('endpoint_drained'))
    if not isinstance(route, Route) or not _leads_to(route, endpoint):
        return Err(_refuse('route_missing'))
    reason = _find_key_fault(snapshot, route, request)
    return Err(_refuse(reason)) if reason else Ok(snapshot)


def _find_key_fault(
    snapshot: Snapshot, route: Route, request: CallRequest
) -> str:
    if route.open:
        return ''
    account = snapshot.account_of_key(request.key_digest)
    if account is None or account.name != request.client_account:
        return 'key_unknown'
    if route.client_accounts and account.name not in route.client_accounts:
        return 'account_not_admitted'
    return ''


def _leads_to(route: Route, endpoint: Endpoint) -> bool:
    return route.service == endpoint.service


def _refuse(reason: str) -> Refusal:
    return Refusal(reason, 'no', RETRY_AFTER_MS)
