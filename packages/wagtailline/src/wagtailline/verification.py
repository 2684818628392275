"""The gate's own check of a forwarded call against its snapshot.

Sender and gate both check, so a revoked key, a removed route or a drained
data centre takes effect as soon as either of them knows of it.
"""

import asyncio
from typing import Protocol

from result import Err, Ok, Result

from wagtailline.calls import CallRequest, Refusal
from wagtailline.objects import Endpoint, Route
from wagtailline.snapshot import Snapshot, SnapshotStore

CATCH_UP_SECONDS = 0.5
RETRY_AFTER_MS = 500

Verdict = Result[Snapshot, Refusal]


class CatchUp(Protocol):
    """Asks for a version that a peer has decided on."""

    def request_version(self, version: int) -> None:
        """Fetch the version, if it is above the one in force."""


class CallVerifier:
    """Checks calls that arrive for one endpoint."""

    def __init__(
        self, endpoint: str, store: SnapshotStore, catch_up: CatchUp
    ) -> None:
        """Check for the endpoint that this process holds."""
        self._endpoint = endpoint
        self._store = store
        self._catch_up = catch_up

    async def verify(self, request: CallRequest) -> Verdict:
        """Return the snapshot that admits the call.

        Every refusal is "not run". A snapshot older than the sender's is
        waited for, for at most ``CATCH_UP_SECONDS``.
        """
        if self._store.version < request.version:
            await self._wait_for(request.version)
        snapshot = self._store.current
        if snapshot is None or snapshot.version < request.version:
            return Err(_refuse('snapshot_behind'))
        return check_call(snapshot, request, self._endpoint)

    async def _wait_for(self, version: int) -> None:
        self._catch_up.request_version(version)
        try:
            async with asyncio.timeout(CATCH_UP_SECONDS):
                await self._store.wait_newer(version - 1)
        except TimeoutError:
            return


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
        return Err(_refuse('route_withdrawn'))
    if not is_admitted(snapshot, route, request):
        return Err(_refuse('key_withdrawn'))
    return Ok(snapshot)


def is_admitted(snapshot: Snapshot, route: Route, request: CallRequest) -> bool:
    """Tell whether the key of the call admits its account to the route."""
    if route.open:
        return True
    account = snapshot.account_of_key(request.key_digest)
    if account is None or account.name != request.client_account:
        return False
    return not route.client_accounts or account.name in route.client_accounts


def _leads_to(route: Route, endpoint: Endpoint) -> bool:
    return route.service == endpoint.service


def _refuse(reason: str) -> Refusal:
    return Refusal(reason, 'no', RETRY_AFTER_MS)
