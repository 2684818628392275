"""Calls with an idempotency key: at most one execution for each key."""

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

MAX_STORED_BYTES = 64 * 1024
_REPLAYED = (b'wagtailline-replayed', b'1')

RunCall = Callable[
    [CallRequest, RequestContent, Ticket], Awaitable[Result[Answer, Refusal]]
]


class KeyedCalls:
    """Puts the record of executions around calls."""

    def __init__(self, records: ExecutionRecords, run: RunCall) -> None:
        """Run calls that the records permit."""
        self._records = records
        self._run_call = run

    async def run(
        self,
        request: CallRequest,
        content: RequestContent,
        ticket: Ticket,
        instant: Callable[[], Instant],
    ) -> Result[Answer, Refusal]:
        """Run the call, answer from the record, or refuse."""
        while True:
            begun = self._records.begin(
                request.client_account,
                request.idempotency_key,
                content.digest,
                instant(),
            )
            match begun:
                case Run(execution=execution):
                    return await self._execute(
                        execution, request, content, ticket
                    )
                case InProgress(ended=ended):
                    left = ticket.deadline - instant().monotonic
                    if not await _wait(ended, left):
                        return Err(Refusal('in_progress', 'unknown'))
                case _:
                    return _settle(begun)

    async def _execute(
        self,
        execution: Execution,
        request: CallRequest,
        content: RequestContent,
        ticket: Ticket,
    ) -> Result[Answer, Refusal]:
        outcome: Result[Answer, Refusal] | None = None
        # The upstream may begin at any moment from here on; a crash of this
        # process must leave the outcome unknown, never free to run again.
        execution.mark_sent()
        try:
            outcome = await self._run_call(request, content, ticket)
        finally:
            _end_failed(execution, outcome)
        if isinstance(outcome, Err):
            return outcome
        return Ok(_record_answer(execution, outcome.ok_value))


def _end_failed(
    execution: Execution, outcome: Result[Answer, Refusal] | None
) -> None:
    if isinstance(outcome, Ok):
        return
    if outcome is not None and outcome.err_value.executed == 'no':
        execution.mark_not_begun()
    execution.close()


def _record_answer(execution: Execution, answer: Answer) -> Answer:
    if isinstance(answer.body, WholeBody):
        content = answer.body.content
        execution.complete(StoredAnswer(answer.status, answer.headers, content))
        return answer
    return answer._replace(body=_RecordedBody(execution, answer))


class _RecordedBody:
    """Body that completes its execution when it was read to its end.

    Closed earlier, or cut, it leaves the outcome unknown for resends.
    """

    def __init__(self, execution: Execution, answer: Answer) -> None:
        self._execution = execution
        self._answer = answer
        self._kept: list[bytes] = []
        self._length = 0

    def __aiter__(self) -> '_RecordedBody':
        return self

    async def __anext__(self) -> bytes:
        try:
            piece = await anext(self._answer.body)
        except StopAsyncIteration:
            self._complete()
            raise
        except BaseException:
            self._execution.close()
            raise
        self._length += len(piece)
        if self._length <= MAX_STORED_BYTES:
            self._kept.append(piece)
        return piece

    async def aclose(self) -> None:
        """End the execution and the body behind it."""
        self._execution.close()
        close = getattr(self._answer.body, 'aclose', None)
        if close is not None:
            await close()

    def _complete(self) -> None:
        is_small = self._length <= MAX_STORED_BYTES
        content = b''.join(self._kept) if is_small else None
        status, headers = self._answer.status, self._answer.headers
        self._execution.complete(StoredAnswer(status, headers, content))


def _settle(
    begun: AnswerAgain | OutcomeUnknown | RefusedNotRun | KeyReused,
) -> Result[Answer, Refusal]:
    match begun:
        case AnswerAgain(answer=StoredAnswer(body=bytes() as content) as kept):
            headers = (*kept.headers, _REPLAYED)
            return Ok(Answer(kept.status, headers, WholeBody(content)))
        case AnswerAgain():
            return Err(Refusal('answer_not_kept', 'unknown'))
        case OutcomeUnknown():
            return Err(Refusal('outcome_unknown', 'unknown'))
        case RefusedNotRun(reason=reason, earlier_unknown=earlier_unknown):
            executed: Executed = 'unknown' if earlier_unknown else 'no'
            return Err(Refusal(reason.name.lower(), executed))
        case KeyReused():
            return Err(Refusal('idempotency_key_reused', 'no'))


async def _wait(ended: asyncio.Event, seconds: float) -> bool:
    try:
        async with asyncio.timeout(max(seconds, 0)):
            await ended.wait()
    except TimeoutError:
        return False
    return True
