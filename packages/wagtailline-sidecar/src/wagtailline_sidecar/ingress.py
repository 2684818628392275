"""Answers the requests of clients and of the upstream on this VM."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from result import Err, Ok, Result

from wagtailline.calls import (
    Answer,
    Body,
    BodyTruncated,
    Deadline,
    Executed,
    Headers,
    Refusal,
    WholeBody,
)
from wagtailline_sidecar._exchange import Exchange, RequestBody
from wagtailline_sidecar.admission import Admission, Admitted
from wagtailline_sidecar.clock import BootClock
from wagtailline_sidecar.forwarder import (
    Attempt,
    Content,
    Forwarder,
    Forwarding,
    continue_body,
)
from wagtailline_sidecar.header_names import HeaderNames
from wagtailline_sidecar.http_messages import drop_hop_by_hop, find_header
from wagtailline_sidecar.quotas import Quotas
from wagtailline_sidecar.refusals import make_problem, refusal_status
from wagtailline_sidecar.routing import Splitter
from wagtailline_sidecar.server_connection import IncomingRequest
from wagtailline_sidecar.snapshot import SnapshotStore

# Larger bodies are passed on while they arrive, and sent once only.
MAX_WHOLE_BODY_BYTES = 256 * 1024
_MILLISECONDS = 1000


class RequestEnded(NamedTuple):
    """Event: a request was answered, refused or given up."""

    request: str
    route: str
    client_account: str
    service: str
    status: int
    reason: str
    executed: str
    attempts: str
    inputs: str
    version: int
    picture_age_ms: int
    took_ms: int


class IngressParts(NamedTuple):
    """What a request passes on its way in."""

    snapshots: SnapshotStore
    admission: Admission
    quotas: Quotas
    splitter: Splitter
    forwarder: Forwarder


class Ingress:
    """Handler of server connections."""

    def __init__(
        self,
        parts: IngressParts,
        names: HeaderNames,
        service: str,
        clock: BootClock,
        random: Random,
        observe: Callable[[NamedTuple], None],
    ) -> None:
        """Serve clients beside the upstream of a service."""
        self._parts = parts
        self._names = names
        self._service = service.encode()
        self._clock = clock
        self._random = random
        self._observe = observe

    async def __call__(
        self, request: IncomingRequest, exchange: Exchange
    ) -> None:
        """Answer one request."""
        match await self._parts.admission.admit(request):
            case Ok(admitted):
                await self._serve(request, admitted, exchange)
            case Err(refusal):
                await self._refuse(request, None, refusal, exchange)

    async def _serve(
        self, request: IncomingRequest, admitted: Admitted, exchange: Exchange
    ) -> None:
        service = self._parts.splitter.choose(admitted.route)
        state = Forwarding(admitted, service)
        outcome: Result[Answer, Refusal]
        left = admitted.deadline - self._clock.monotonic()
        try:
            with Deadline(left):
                outcome = await self._forward(request, state)
        except TimeoutError:
            executed: Executed = 'unknown' if state.is_sent else 'no'
            outcome = Err(Refusal('deadline', executed))
        except BodyTruncated:
            outcome = Err(Refusal('body_truncated', 'unknown'))
        except asyncio.CancelledError:
            left_early = Refusal('client_left', 'unknown')
            self._note(request, state, left_early, status=0)
            raise
        match outcome:
            case Ok(answer):
                self._note(request, state, answer, answer.status)
                headers = drop_hop_by_hop(answer.headers)
                await exchange.stream(answer.status, headers, answer.body)
            case Err(refusal):
                if refusal.executed == 'no' and admitted.account is not None:
                    self._parts.quotas.give_back(admitted.account)
                await self._refuse(request, state, refusal, exchange)

    async def _forward(
        self, request: IncomingRequest, state: Forwarding
    ) -> Result[Answer, Refusal]:
        body = await _collect(request.body)
        content = Content(
            request.method,
            request.target,
            self._pass_headers(request.headers, state.admitted),
            body,
        )
        return await self._parts.forwarder.forward(state, content)

    def _pass_headers(self, headers: Headers, admitted: Admitted) -> Headers:
        names = self._names
        own = (
            names.authorization,
            names.deadline_ms,
            names.client_account,
            names.caller_service,
            names.expected_instance,
        )
        passed = drop_hop_by_hop(headers, own)
        added = [(names.caller_service, self._service)]
        if admitted.account is not None:
            account = admitted.account.name.encode()
            added.append((names.client_account, account))
        return (*passed, *added)

    async def _refuse(
        self,
        request: IncomingRequest,
        state: Forwarding | None,
        refusal: Refusal,
        exchange: Exchange,
    ) -> None:
        status = refusal_status(refusal)
        self._note(request, state, refusal, status)
        problem = make_problem(refusal, self._names.retry_after, self._random)
        await exchange.respond(problem.status, problem.headers, problem.content)

    def _note(
        self,
        request: IncomingRequest,
        state: Forwarding | None,
        outcome: Answer | Refusal,
        status: int,
    ) -> None:
        snapshots = self._parts.snapshots
        snapshot = snapshots.current
        took = self._clock.monotonic() - request.arrived_at
        admitted = state.admitted if state else None
        account = admitted.account if admitted else None
        identity = find_header(request.headers, self._names.request_id) or b''
        self._observe(
            RequestEnded(
                request=identity.decode('latin-1'),
                route=admitted.route.name if admitted else '',
                client_account=account.name if account else '',
                service=state.service if state else '',
                status=status,
                reason=_reason(outcome),
                executed=_executed(outcome),
                attempts=_describe(state.attempts if state else []),
                inputs=outcome.limit if isinstance(outcome, Refusal) else '',
                version=snapshot.configuration.version if snapshot else 0,
                picture_age_ms=int(snapshots.age_seconds * _MILLISECONDS)
                if snapshot
                else -1,
                took_ms=int(took * _MILLISECONDS),
            )
        )


async def _collect(body: RequestBody) -> Body:
    """Return a small body whole, or the body itself."""
    pieces: list[bytes] = []
    size = 0
    async for piece in body:
        pieces.append(piece)
        size += len(piece)
        if size > MAX_WHOLE_BODY_BYTES:
            return continue_body(pieces, body)
    return WholeBody(b''.join(pieces))


def _reason(outcome: Answer | Refusal) -> str:
    match outcome:
        case Answer():
            return 'answered'
        case Refusal():
            return outcome.reason


def _executed(outcome: Answer | Refusal) -> str:
    return 'yes' if isinstance(outcome, Answer) else outcome.executed


def _describe(attempts: list[Attempt]) -> str:
    return ','.join(
        f'{one.endpoint}:{one.outcome}:{one.took_ms}ms' for one in attempts
    )
