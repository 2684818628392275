"""Calls with an idempotency key, each of which runs at most once."""

import asyncio
from collections.abc import Awaitable, Callable

from result import Err, Ok, Result

from wagtailline.admission import Ticket
from wagtailline.calls import (
    Answer,
    CallRequest,
    Executed,
    Refusal,
    WholeBody,
)
from wagtailline.executions import (
    AnswerAgain,
    Execution,
    ExecutionRecords,
    InProgress,
    Instant,
    KeyReused,
    OutcomeUnknown,
    RefusedNotRun,
    Run,
    StoredAnswer,
)
from wagtailline_daemon.gate._request_content import RequestContent

MAX_STORED_BODY_BYTES = 64 * 1024
_REPLAYED_HEADER = (b'wagtailline-replayed', b'1')

RunCall = Callable[
    [CallRequest, RequestContent, Ticket], Awaitable[Result[Answer, Refusal]]
]


class KeyedCalls:
    """Runs calls that the execution records permit, and records them."""

    def __init__(self, records: ExecutionRecords, run: RunCall) -> None:
        """Run permitted calls with ``run``."""
        self._records = records
        self._run_call = run

    async def run(
        self,
        request: CallRequest,
        content: RequestContent,
        ticket: Ticket,
        read_clocks: Callable[[], Instant],
    ) -> Result[Answer, Refusal]:
        """Run the call, return the recorded answer, or refuse.

        While another call with the key is running, wait for its end.
        """
        while True:
            begin_outcome = self._records.begin(
                request.client_account,
                request.idempotency_key,
                content.digest,
                read_clocks(),
            )
            match begin_outcome:
                case Run(execution=execution):
                    return await self._execute(
                        execution, request, content, ticket
                    )
                case InProgress(ended=ended):
                    remaining_seconds = (
                        ticket.deadline - read_clocks().monotonic
                    )
                    if not await _wait_until_set(ended, remaining_seconds):
                        return Err(Refusal('in_progress', 'unknown'))
                case _:
                    return _resolve_without_run(begin_outcome)

    async def _execute(
        self,
        execution: Execution,
        request: CallRequest,
        content: RequestContent,
        ticket: Ticket,
    ) -> Result[Answer, Refusal]:
        outcome: Result[Answer, Refusal] | None = None
        # From here on the upstream may begin the request at any time, so a
        # crash of this process must leave the outcome unknown: the request
        # must not run again.
        execution.mark_sent()
        try:
            outcome = await self._run_call(request, content, ticket)
        finally:
            _close_failed(execution, outcome)
        if isinstance(outcome, Err):
            return outcome
        return Ok(_record_answer(execution, outcome.ok_value))


def _close_failed(
    execution: Execution, outcome: Result[Answer, Refusal] | None
) -> None:
    if isinstance(outcome, Ok):
        return
    if outcome is not None and outcome.err_value.executed == 'no':
        execution.mark_not_sent()
    execution.close()


def _record_answer(execution: Execution, answer: Answer) -> Answer:
    if isinstance(answer.body, WholeBody):
        content = answer.body.content
        execution.complete(StoredAnswer(answer.status, answer.headers, content))
        return answer
    return answer._replace(body=_RecordedBody(execution, answer))


class _RecordedBody:
    """Body that completes its execution once it has been read to its end.

    If it is closed earlier or truncated, the outcome is unknown for resends.
    """

    def __init__(self, execution: Execution, answer: Answer) -> None:
        self._execution = execution
        self._answer = answer
        self._stored_parts: list[bytes] = []
        self._length = 0

    def __aiter__(self) -> '_RecordedBody':
        return self

    async def __anext__(self) -> bytes:
        try:
            part = await anext(self._answer.body)
        except StopAsyncIteration:
            self._complete()
            raise
        except BaseException:
            self._execution.close()
            raise
        self._length += len(part)
        if self._length <= MAX_STORED_BODY_BYTES:
            self._stored_parts.append(part)
        return part

    async def aclose(self) -> None:
        """Close the execution and the wrapped body."""
        self._execution.close()
        close = getattr(self._answer.body, 'aclose', None)
        if close is not None:
            await close()

    def _complete(self) -> None:
        is_small = self._length <= MAX_STORED_BODY_BYTES
        content = b''.join(self._stored_parts) if is_small else None
        status, headers = self._answer.status, self._answer.headers
        self._execution.complete(StoredAnswer(status, headers, content))


def _resolve_without_run(
    begin_outcome: AnswerAgain | OutcomeUnknown | RefusedNotRun | KeyReused,
) -> Result[Answer, Refusal]:
    match begin_outcome:
        case AnswerAgain(
            answer=StoredAnswer(body=bytes() as content) as stored
        ):
            headers = (*stored.headers, _REPLAYED_HEADER)
            return Ok(Answer(stored.status, headers, WholeBody(content)))
        case AnswerAgain():
            return Err(Refusal('answer_not_kept', 'unknown'))
        case OutcomeUnknown():
            return Err(Refusal('outcome_unknown', 'unknown'))
        case RefusedNotRun(reason=reason, earlier_unknown=earlier_unknown):
            executed: Executed = 'unknown' if earlier_unknown else 'no'
            return Err(Refusal(reason.name.lower(), executed))
        case KeyReused():
            return Err(Refusal('idempotency_key_reused', 'no'))


async def _wait_until_set(ended: asyncio.Event, seconds: float) -> bool:
    try:
        async with asyncio.timeout(max(seconds, 0)):
            await ended.wait()
    except TimeoutError:
        return False
    return True
