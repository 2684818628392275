"""Verification of a forwarded call against the snapshot of the gate.

The sender and the gate both check a call, so that a revoked key, a removed
route or a drained data centre takes effect as soon as either of them has the
snapshot that says so. A gate is the admission control in front of the
upstreams of one endpoint.
"""

import asyncio
from typing import Any, Protocol

from result import Err, Ok, Result

from wagtailline.calls import CallRequest, Refusal
from wagtailline.objects import Endpoint, Route
from wagtailline.snapshot import Snapshot, SnapshotStore

CATCH_UP_TIMEOUT_SECONDS = 0.5
RETRY_AFTER_MS = 500

Verdict = Result[Snapshot, Refusal]


class SnapshotFreshness(Protocol):
    """Freshness of the snapshot in force, and requests for a newer one."""

    @property
    def is_ready(self) -> bool:
        """Return whether the snapshot was confirmed recently enough to use."""

    async def wait_ready(self, seconds: float) -> Result[None, Any]:
        """Wait until the snapshot is ready; return an error at the timeout."""

    def age_seconds(self) -> float | None:
        """Return the seconds since the source confirmed the snapshot.

        None means that the source never confirmed it.
        """

    def request_version(self, endpoint: str, version: int) -> None:
        """Start to fetch a version from the process at an endpoint."""


class CallVerifier:
    """Verifies the calls that arrive at one endpoint."""

    def __init__(
        self,
        endpoint: str,
        store: SnapshotStore,
        freshness: SnapshotFreshness,
        max_age_seconds: float | None = None,
    ) -> None:
        """Take the endpoint of this process and its source of snapshots.

        Without ``max_age_seconds`` a snapshot stays in use no matter how long
        ago the source confirmed it.
        """
        self._endpoint = endpoint
        self._store = store
        self._freshness = freshness
        self._max_age_seconds = max_age_seconds

    async def verify(self, request: CallRequest) -> Verdict:
        """Return the snapshot that admits the call, or a refusal.

        Every refusal says that the call has not run. A process whose
        snapshot is not confirmed, such as after a pause of the process, waits
        for a confirmation first; one whose snapshot is older than the
        sender's waits for the newer version. Each wait takes at most
        ``CATCH_UP_TIMEOUT_SECONDS``.
        """
        if not self._freshness.is_ready:
            confirmed = await self._freshness.wait_ready(
                CATCH_UP_TIMEOUT_SECONDS
            )
            if confirmed.is_err():
                return Err(_refusal('not_confirmed'))
        if self._store.version < request.version:
            await self._wait_for_version(request)
        snapshot = self._store.current
        if snapshot is None or snapshot.version < request.version:
            return Err(_refusal('snapshot_behind'))
        if self._is_too_old():
            return Err(_refusal('snapshot_too_old'))
        return check_call(snapshot, request, self._endpoint)

    async def _wait_for_version(self, request: CallRequest) -> None:
        self._freshness.request_version(request.sender, request.version)
        try:
            async with asyncio.timeout(CATCH_UP_TIMEOUT_SECONDS):
                await self._store.wait_for_newer(request.version - 1)
        except TimeoutError:
            return

    def _is_too_old(self) -> bool:
        if self._max_age_seconds is None:
            return False
        age = self._freshness.age_seconds()
        return age is None or age > self._max_age_seconds


def check_call(
    snapshot: Snapshot, request: CallRequest, own_endpoint: str
) -> Verdict:
    """Return the snapshot if it admits the call, otherwise a refusal."""
    endpoint = snapshot.find_endpoint(own_endpoint)
    route = snapshot.objects.get(('routes', request.route))
    if endpoint is None or request.endpoint != own_endpoint:
        return Err(_refusal('wrong_endpoint'))
    if not snapshot.is_in_service(endpoint):
        return Err(_refusal('endpoint_drained'))
    if not isinstance(route, Route) or not _routes_to(route, endpoint):
        return Err(_refusal('route_missing'))
    reason = _find_key_refusal(snapshot, route, request)
    return Err(_refusal(reason)) if reason else Ok(snapshot)


def _find_key_refusal(
    snapshot: Snapshot, route: Route, request: CallRequest
) -> str:
    """Return the reason to refuse the key, empty if it is accepted."""
    if route.open:
        return ''
    account = snapshot.find_account_by_key(request.key_digest)
    if account is None or account.name != request.client_account:
        return 'key_unknown'
    if route.client_accounts and account.name not in route.client_accounts:
        return 'account_not_admitted'
    return ''


def _routes_to(route: Route, endpoint: Endpoint) -> bool:
    return route.service == endpoint.service


def _refusal(reason: str) -> Refusal:
    return Refusal(reason, 'no', RETRY_AFTER_MS)
