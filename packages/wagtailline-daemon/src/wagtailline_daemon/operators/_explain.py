"""Explains how a request would be routed, without sending it."""

from typing import NamedTuple

from wagtailline.membership import MemberTable
from wagtailline.objects import ClientAccount, Endpoint, Limit, Route
from wagtailline.snapshot import Snapshot


class Candidate(NamedTuple):
    """An endpoint of the service, and why it is usable or not."""

    endpoint: str
    data_centre: str
    vm: str
    verdict: str


class Explanation(NamedTuple):
    """Route, client account, limit and candidate endpoints of a request."""

    version: int
    route: str
    service: str
    client_account: str
    limit: str
    rate: float
    burst: int
    refusal: str
    candidates: tuple[Candidate, ...]


class ExplainedRequest(NamedTuple):
    """The path of the request to explain, and the account that sends it."""

    path: str
    client_account: str


def explain_request(
    snapshot: Snapshot, members: MemberTable, request: ExplainedRequest
) -> Explanation:
    """Return how a request is handled under the snapshot and the members."""
    route = snapshot.match_route(request.path)
    account = snapshot.find_account(request.client_account)
    limit = _find_limit(snapshot, route, account)
    return Explanation(
        version=snapshot.version,
        route=route.name if route else '',
        service=route.service if route else '',
        client_account=account.name if account else '',
        limit=limit.name if limit else '',
        rate=limit.rate if limit else 0,
        burst=limit.burst if limit else 0,
        refusal=_find_refusal(route, account),
        candidates=tuple(
            _assess_endpoint(snapshot, members, endpoint)
            for endpoint in snapshot.endpoints_of(route.service)
        )
        if route
        else (),
    )


def _find_limit(
    snapshot: Snapshot, route: Route | None, account: ClientAccount | None
) -> Limit | None:
    if route is not None and route.open:
        return snapshot.find_limit(route.limit or '')
    return snapshot.find_limit(account.limit) if account else None


def _find_refusal(route: Route | None, account: ClientAccount | None) -> str:
    if route is None:
        return 'no route'
    if route.open:
        return ''
    if account is None:
        return 'no such client account'
    if route.client_accounts and account.name not in route.client_accounts:
        return 'client account not admitted to the route'
    return ''


def _assess_endpoint(
    snapshot: Snapshot, members: MemberTable, endpoint: Endpoint
) -> Candidate:
    member = members.find(endpoint.name)
    verdict = 'usable'
    if not snapshot.is_in_service(endpoint):
        verdict = 'out of service'
    elif member is None:
        verdict = 'no vm known'
    elif member.leaving:
        verdict = 'leaving'
    return Candidate(
        endpoint.name,
        endpoint.data_centre,
        member.vm if member else '',
        verdict,
    )
