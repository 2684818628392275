"""Handling of requests from clients and from the upstream on this VM."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from result import Err, Ok, Result

from wagtailline.calls import (
    Answer,
    BodyTruncated,
    Deadline,
    Executed,
    Headers,
    Refusal,
)
from wagtailline_sidecar._exchange import Exchange
from wagtailline_sidecar.admission import Admission, Admitted
from wagtailline_sidecar.body_memory import make_unlimited_memory
from wagtailline_sidecar.clock import BootClock
from wagtailline_sidecar.forwarder import Forwarder
from wagtailline_sidecar.forwarding_state import (
    Attempt,
    ForwardingState,
    OutgoingRequest,
)
from wagtailline_sidecar.header_names import HeaderNames
from wagtailline_sidecar.http_messages import drop_hop_by_hop, find_header
from wagtailline_sidecar.quotas import Quotas
from wagtailline_sidecar.refusals import make_problem, refusal_status
from wagtailline_sidecar.routing import Splitter
from wagtailline_sidecar.server_connection import IncomingRequest
from wagtailline_sidecar.snapshot import SnapshotStore
from wagtailline_sidecar.streamed_bodies import buffer_body

# Larger request bodies are streamed, so they can be sent only once.
MAX_BUFFERED_BODY_BYTES = 256 * 1024
_MILLISECONDS_PER_SECOND = 1000


class RequestEnded(NamedTuple):
    """Log event: a request was answered, refused or cancelled."""

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


class IngressDependencies(NamedTuple):
    """Components that a request passes through."""

    snapshots: SnapshotStore
    admission: Admission
    quotas: Quotas
    splitter: Splitter
    forwarder: Forwarder


class Ingress:
    """Request handler of the ingress listener."""

    def __init__(
        self,
        dependencies: IngressDependencies,
        names: HeaderNames,
        service: str,
        clock: BootClock,
        random: Random,
        observe: Callable[[NamedTuple], None],
    ) -> None:
        """Set up the handler.

        ``service`` is the service of the upstream on this VM; it is named as
        the caller in forwarded requests. Bodies of requests are held in
        ``memory``.
        """
        self.memory = make_unlimited_memory()
        self._in_progress: dict[ForwardingState, asyncio.Task[None]] = {}
        self._dependencies = dependencies
        self._names = names
        self._service = service.encode()
        self._clock = clock
        self._random = random
        self._observe = observe

    async def __call__(
        self, request: IncomingRequest, exchange: Exchange
    ) -> None:
        """Admit and forward one request, and write the response."""
        match await self._dependencies.admission.admit(request):
            case Ok(admitted):
                await self._handle_admitted(request, admitted, exchange)
            case Err(refusal):
                await self._refuse(request, None, refusal, exchange)

    def end_requests(self) -> None:
        """Answer the requests in progress now, as the daemon is about to end.

        Those whose response has begun are not affected.
        """
        for state, task in tuple(self._in_progress.items()):
            state.is_ended = True
            task.cancel()

    async def _handle_admitted(
        self, request: IncomingRequest, admitted: Admitted, exchange: Exchange
    ) -> None:
        service = self._dependencies.splitter.choose(admitted.route)
        state = ForwardingState(admitted, service)
        outcome: Result[Answer, Refusal]
        remaining_seconds = admitted.deadline - self._clock.monotonic()
        try:
            with Deadline(remaining_seconds):
                outcome = await self._forward_until_end(request, state)
        except TimeoutError:
            outcome = Err(Refusal('deadline', _may_have_run(state)))
        except BodyTruncated:
            outcome = Err(Refusal('body_truncated', 'unknown'))
        except asyncio.CancelledError:
            disconnect = Refusal('client_left', 'unknown')
            self._report_end(request, state, disconnect, status=0)
            raise
        match outcome:
            case Ok(answer):
                self._report_end(request, state, answer, answer.status)
                headers = drop_hop_by_hop(answer.headers)
                await exchange.stream(answer.status, headers, answer.body)
            case Err(refusal):
                if refusal.executed == 'no' and admitted.account is not None:
                    self._dependencies.quotas.refund(admitted.account)
                await self._refuse(request, state, refusal, exchange)

    async def _forward_until_end(
        self, request: IncomingRequest, state: ForwardingState
    ) -> Result[Answer, Refusal]:
        """Forward a request unless the daemon ends before its response."""
        task = asyncio.current_task()
        if task is None:
            return await self._forward(request, state)
        self._in_progress[state] = task
        try:
            return await self._forward(request, state)
        except asyncio.CancelledError:
            if not state.is_ended:
                raise
            task.uncancel()
            return Err(Refusal('daemon_stopping', _may_have_run(state)))
        finally:
            self._in_progress.pop(state, None)

    async def _forward(
        self, request: IncomingRequest, state: ForwardingState
    ) -> Result[Answer, Refusal]:
        body = await buffer_body(
            request.body, MAX_BUFFERED_BODY_BYTES, self.memory
        )
        outgoing = OutgoingRequest(
            request.method,
            request.target,
            self._make_forwarded_headers(request.headers, state.admitted),
            body,
        )
        return await self._dependencies.forwarder.forward(state, outgoing)

    def _make_forwarded_headers(
        self, headers: Headers, admitted: Admitted
    ) -> Headers:
        names = self._names
        replaced_names = (
            names.authorization,
            names.timeout_ms,
            names.client_account,
            names.caller_service,
            names.expected_instance,
            names.known_rate_limit,
        )
        forwarded = drop_hop_by_hop(headers, replaced_names)
        added = [(names.caller_service, self._service)]
        if admitted.account is not None:
            account = admitted.account.name.encode()
            added.append((names.client_account, account))
        return (*forwarded, *added)

    async def _refuse(
        self,
        request: IncomingRequest,
        state: ForwardingState | None,
        refusal: Refusal,
        exchange: Exchange,
    ) -> None:
        status = refusal_status(refusal)
        self._report_end(request, state, refusal, status)
        problem = make_problem(refusal, self._names.retry_after, self._random)
        await exchange.respond(problem.status, problem.headers, problem.content)

    def _report_end(
        self,
        request: IncomingRequest,
        state: ForwardingState | None,
        outcome: Answer | Refusal,
        status: int,
    ) -> None:
        snapshots = self._dependencies.snapshots
        snapshot = snapshots.current
        elapsed_seconds = self._clock.monotonic() - request.arrived_at
        admitted = state.admitted if state else None
        account = admitted.account if admitted else None
        request_id = find_header(request.headers, self._names.request_id) or b''
        self._observe(
            RequestEnded(
                request=request_id.decode('latin-1'),
                route=admitted.route.name if admitted else '',
                client_account=account.name if account else '',
                service=state.service if state else '',
                status=status,
                reason=_reason(outcome),
                executed=_executed(outcome),
                attempts=_format_attempts(state.attempts if state else []),
                inputs=outcome.limit if isinstance(outcome, Refusal) else '',
                version=snapshot.configuration.version if snapshot else 0,
                picture_age_ms=int(
                    snapshots.age_seconds * _MILLISECONDS_PER_SECOND
                )
                if snapshot
                else -1,
                took_ms=int(elapsed_seconds * _MILLISECONDS_PER_SECOND),
            )
        )


def _may_have_run(state: ForwardingState) -> Executed:
    return 'unknown' if state.is_sent else 'no'


def _reason(outcome: Answer | Refusal) -> str:
    match outcome:
        case Answer():
            return 'answered'
        case Refusal():
            return outcome.reason


def _executed(outcome: Answer | Refusal) -> str:
    return 'yes' if isinstance(outcome, Answer) else outcome.executed


def _format_attempts(attempts: list[Attempt]) -> str:
    return ','.join(
        f'{attempt.endpoint}:{attempt.outcome}:{attempt.took_ms}ms'
        for attempt in attempts
    )
