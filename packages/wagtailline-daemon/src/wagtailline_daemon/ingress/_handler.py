"""ASGI application of the ingress."""

import asyncio
from collections.abc import Awaitable, Callable, MutableMapping
from random import Random
from typing import Any, Protocol

from result import Err, Ok, Result

from wagtailline.calls import (
    Answer,
    Body,
    BodyTruncated,
    CallHandler,
    CallRequest,
    Refusal,
    WholeBody,
)
from wagtailline.objects import Route
from wagtailline.routing import RouteIndex
from wagtailline.snapshot import Snapshot, SnapshotStore
from wagtailline_daemon.ingress._answer import (
    Message,
    Send,
    send_answer,
    send_refusal,
)
from wagtailline_daemon.ingress._headers import (
    RequestHeaders,
    digest_key,
    read_headers,
)
from wagtailline_daemon.ingress._protocol import IngressProtocol
from wagtailline_daemon.ingress._refusals import problem_status
from wagtailline_daemon.ingress._resources import IngressResources
from wagtailline_daemon.ingress._server import ingress_config
from wagtailline_daemon.ingress._target import match_target

__all__ = (
    'Allowance',
    'AllowanceRefusal',
    'Ingress',
    'IngressProtocol',
    'IngressResources',
    'ingress_config',
)

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
_MILLISECONDS_PER_SECOND = 1000
_BAD_REQUEST = 400
_BODY_TRUNCATED = 'body_truncated'


def _ignore_error(error: Exception) -> None:
    """Ignore an error: the default when no observer is given."""


class AllowanceRefusal(Protocol):
    """Reason why a rate limit has no token, and when to retry."""

    @property
    def reason(self) -> str:
        """Return the reason in one word."""

    @property
    def retry_after_ms(self) -> int:
        """Return in how many milliseconds a token may be available."""


class Allowance(Protocol):
    """Rate limits that admit requests."""

    async def acquire(
        self, limit_name: str, timeout_seconds: float
    ) -> Result[None, AllowanceRefusal]:
        """Take one token of a rate limit, or return why there is none."""


class _AdmittedRequest:
    """A request with its route and its permitted client account."""

    def __init__(self, request: CallRequest, limit: str, body: Body) -> None:
        self.request = request
        self.limit = limit
        self.body = body


class Ingress:
    """ASGI application that forwards requests; requires IngressProtocol."""

    def __init__(
        self,
        store: SnapshotStore,
        allowance: Allowance,
        router: CallHandler,
        random: Random,
        observe_error: Callable[[Exception], None] = _ignore_error,
    ) -> None:
        """Create an application that sends admitted requests to the router.

        ``observe_error`` is called with each exception that the router raises.
        """
        self._observe_error = observe_error
        self._store = store
        self._allowance = allowance
        self._router = router
        self._random = random
        self._index: RouteIndex | None = None

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answer one request; return early if its caller disconnects."""
        if scope['type'] != 'http':
            return
        try:
            await self._serve(scope, receive, send)
        except asyncio.CancelledError:
            # uvicorn would log an error for each caller that disconnects.
            return

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        match self._admit(scope, receive):
            case Ok(admitted):
                outcome = await self._forward(admitted)
            case Err((refusal, status)):
                return await send_refusal(send, refusal, status, self._random)
        match outcome:
            case Ok(answer):
                await send_answer(send, answer, admitted.request.timeout_ms)
            case Err(refusal):
                status = problem_status(refusal)
                await send_refusal(send, refusal, status, self._random)

    def _admit(
        self, scope: Scope, receive: Receive
    ) -> Result[_AdmittedRequest, tuple[Refusal, int]]:
        problem = _check_scope(scope)
        if problem:
            return _malformed(problem)
        match read_headers(scope['headers']):
            case Ok(headers):
                return self._find_route(scope, headers, receive)
            case Err(fault):
                return _malformed(fault.reason)

    def _find_route(
        self, scope: Scope, headers: RequestHeaders, receive: Receive
    ) -> Result[_AdmittedRequest, tuple[Refusal, int]]:
        index = self._current_index()
        if index is None:
            return _refused('no_snapshot')
        path = scope['raw_path'].decode('latin-1')
        matched = match_target(index, path)
        if isinstance(matched, Err):
            return _malformed(matched.err_value.reason)
        route = matched.ok_value
        if route is None:
            return _refused('route_missing')
        target = _build_target(path, scope)
        if headers.api_key and headers.api_key.decode('latin-1') in target:
            return _malformed('key_in_target')
        body = _read_body(receive) if headers.has_body else WholeBody()
        return _authorize(
            index.snapshot, route, headers, (scope['method'], target, body)
        )

    def _current_index(self) -> RouteIndex | None:
        snapshot = self._store.current
        if snapshot is None:
            return None
        if self._index is None or self._index.snapshot is not snapshot:
            self._index = RouteIndex(snapshot)
        return self._index

    async def _forward(
        self, admitted: _AdmittedRequest
    ) -> Result[Answer, Refusal]:
        request = admitted.request
        loop = asyncio.get_running_loop()
        started = loop.time()
        acquired = await self._allowance.acquire(
            admitted.limit, request.timeout_ms / _MILLISECONDS_PER_SECOND
        )
        if isinstance(acquired, Err):
            retry_after_ms = acquired.err_value.retry_after_ms
            return Err(
                Refusal(
                    'allowance_exhausted', 'no', retry_after_ms, admitted.limit
                )
            )
        waited_ms = int((loop.time() - started) * _MILLISECONDS_PER_SECOND)
        if waited_ms:
            request = request._replace(
                timeout_ms=request.timeout_ms - waited_ms
            )
        if request.timeout_ms <= 0:
            return Err(Refusal('deadline', 'no'))
        try:
            return await self._router(request, admitted.body)
        except BodyTruncated:
            return Err(Refusal(_BODY_TRUNCATED, 'unknown'))
        except Exception as error:
            self._observe_error(error)
            return Err(Refusal('internal_error', 'unknown'))


def _check_scope(scope: Scope) -> str:
    if scope['http_version'] != '1.1':
        # HTTP/1.0 has no chunked encoding, so a truncated answer would look
        # complete.
        return 'http_version'
    if scope['method'] == 'CONNECT':
        return 'method_unknown'
    return ''


def _authorize(
    snapshot: Snapshot,
    route: Route,
    headers: RequestHeaders,
    method_target_body: tuple[str, str, Body],
) -> Result[_AdmittedRequest, tuple[Refusal, int]]:
    account_name = ''
    digest = ''
    limit = route.limit or ''
    if not route.open:
        if not headers.api_key:
            return _refused('key_missing')
        digest = digest_key(headers.api_key)
        account = snapshot.find_account_by_key(digest)
        if account is None:
            return _refused('key_unknown')
        account_name, limit = account.name, account.limit
        if route.client_accounts and account_name not in route.client_accounts:
            return _refused('account_not_admitted')
    method, target, body = method_target_body
    request = CallRequest(
        version=snapshot.version,
        endpoint='',
        route=route.name,
        client_account=account_name,
        key_digest=digest,
        method=method,
        target=target,
        headers=headers.forwarded,
        timeout_ms=min(route.timeout_ms, headers.timeout_ms),
        depth=headers.depth,
        trace=headers.trace,
        idempotency_key=headers.idempotency_key,
    )
    return Ok(_AdmittedRequest(request, limit, body))


def _refused(reason: str) -> Err[tuple[Refusal, int]]:
    refusal = Refusal(reason, 'no')
    return Err((refusal, problem_status(refusal)))


def _malformed(reason: str) -> Err[tuple[Refusal, int]]:
    refusal = Refusal(reason, 'no')
    status = problem_status(refusal)
    return Err((refusal, _BAD_REQUEST if status == 503 else status))


def _build_target(path: str, scope: Scope) -> str:
    query: bytes = scope['query_string']
    return f'{path}?{query.decode("latin-1")}' if query else path


async def _read_body(receive: Receive) -> Body:
    has_more = True
    while has_more:
        message = await receive()
        if message['type'] != 'http.request':
            raise BodyTruncated
        has_more = message.get('more_body', False)
        if message['body']:
            yield message['body']
