"""Sending side of a connection that carries calls."""

import asyncio
from collections.abc import Callable
from itertools import count

from result import Err, Ok, Result

from wagtailline.calls._bodies import (
    MAX_CHUNK_BYTES,
    IncomingBody,
    WholeBody,
    close_body,
    send_chunks,
)
from wagtailline.calls._deadline import Deadline
from wagtailline.calls._sent_call import SentCall
from wagtailline.calls._types import Answer, Body, CallRequest, Refusal
from wagtailline.calls.messages import (
    AnswerBody,
    AnswerEnd,
    AnswerStart,
    CallBody,
    CallCancel,
    CallCredit,
    CallRefused,
    CallStart,
)
from wagtailline.codec import Message
from wagtailline.ports import Address, Channel, ChannelClosed

_MILLISECONDS_PER_SECOND = 1000
_CONNECTION_LOST = Refusal('connection_lost', 'unknown')
_CALL_NOT_SENT = Refusal('connection_lost', 'no')


class CallConnection:
    """Connection to one gate and the calls in progress on it."""

    def __init__(
        self,
        channel: Channel,
        address: Address,
        on_retired: Callable[['CallConnection'], None],
    ) -> None:
        """Take over a channel on which both sides have sent their Hello.

        ``on_retired`` is called once, when the connection takes no more
        calls and new ones need another connection.
        """
        self._channel = channel
        self._address = address
        self._on_retired = on_retired
        self._calls: dict[int, SentCall] = {}
        self._call_numbers = count(1)
        self._is_retired = False
        self._is_ended = False
        self._last_received_at = float(0)
        self._cancel_tasks: set[asyncio.Task[None]] = set()
        self._receive_task = asyncio.ensure_future(self._receive())

    def is_usable(self, address: Address | None) -> bool:
        """Return whether new calls to the address may use this connection."""
        return not self._is_retired and self._address == address

    def retire(self) -> None:
        """Take no new calls and close when those in progress have ended."""
        if not self._is_retired:
            self._is_retired = True
            self._on_retired(self)
        if not self._calls:
            self.close()

    def close(self) -> None:
        """Close the connection and end every call on it."""
        self._channel.close()
        self._receive_task.cancel()
        self._end_calls()

    async def call(
        self, request: CallRequest, body: Body
    ) -> Result[Answer, Refusal]:
        """Send a call and wait for the head of its answer, or its refusal."""
        if self._is_ended:
            return Err(_CALL_NOT_SENT)
        if request.timeout_ms <= 0:
            return Err(Refusal('deadline', 'no'))
        call_number = next(self._call_numbers)
        timeout_seconds = request.timeout_ms / _MILLISECONDS_PER_SECOND
        call = self._add_call(call_number, timeout_seconds)
        started_at = asyncio.get_running_loop().time()
        try:
            with Deadline(timeout_seconds):
                await self._send_start(call_number, call, request, body)
                return await call.outcome
        except ChannelClosed:
            return self._fail_call(call_number, _CONNECTION_LOST)
        except TimeoutError:
            self._retire_if_silent(started_at)
            self._cancel_call(call_number)
            return Err(Refusal('deadline', 'unknown'))
        except asyncio.CancelledError:
            self._cancel_call(call_number)
            raise

    def _add_call(self, call_number: int, stall_seconds: float) -> SentCall:
        async def send_credit(end_offset: int) -> None:
            try:
                await self._channel.send(CallCredit(call_number, end_offset))
            except ChannelClosed:
                self._end_calls()

        def make_answer_body() -> IncomingBody:
            return IncomingBody(
                send_credit,
                lambda: self._cancel_call(call_number),
                stall_seconds,
            )

        call = SentCall(make_answer_body)
        self._calls[call_number] = call
        return call

    async def _send_start(
        self, call_number: int, call: SentCall, request: CallRequest, body: Body
    ) -> None:
        if isinstance(body, WholeBody) and len(body.content) <= MAX_CHUNK_BYTES:
            await self._channel.send(
                CallStart(call_number, request, body.content, ends_body=True)
            )
            return
        await self._channel.send(
            CallStart(call_number, request, b'', ends_body=False)
        )
        call.send_task = asyncio.ensure_future(
            self._send_body(call_number, call, request, body)
        )

    async def _send_body(
        self, call_number: int, call: SentCall, request: CallRequest, body: Body
    ) -> None:
        async def send(offset: int, content: bytes) -> None:
            await self._channel.send(
                CallBody(call_number, offset, content, ends_body=False)
            )

        try:
            await send_chunks(
                body,
                call.send_window,
                send,
                request.timeout_ms / _MILLISECONDS_PER_SECOND,
            )
            await self._channel.send(
                CallBody(
                    call_number,
                    call.send_window.sent_bytes,
                    b'',
                    ends_body=True,
                )
            )
        except Exception:
            # The gate must not take a truncated body for a complete one.
            call.settle(Err(Refusal('body_truncated', 'unknown')))
            call.answer_body.fail()
            self._cancel_call(call_number)
        finally:
            await close_body(body)

    async def _receive(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            while True:
                message = await self._channel.receive()
                self._last_received_at = loop.time()
                self._dispatch(message)
        except ChannelClosed:
            self._end_calls()
        except Exception:
            # Without this task, each call would wait until its deadline.
            self._channel.close()
            self._end_calls()
            raise

    def _dispatch(self, message: Message) -> None:
        """Handle a message; ignore it if its call has ended."""
        match message:
            case AnswerStart():
                self._start_answer(message)
            case AnswerBody():
                self._feed_answer(message)
            case AnswerEnd():
                self._end_answer(message)
            case CallRefused():
                call = self._calls.get(message.call_number)
                if call is not None and not call.outcome.done():
                    self._fail_call(message.call_number, Refusal(*message[1:]))
            case CallCredit():
                call = self._calls.get(message.call_number)
                if call is not None:
                    call.send_window.extend(message.end_offset)
            case _:
                self.close()

    def _start_answer(self, start: AnswerStart) -> None:
        call = self._calls.get(start.call_number)
        if call is None or call.outcome.done():
            return
        if start.ends_body:
            body: Body = WholeBody(start.content)
            self._remove_call(start.call_number)
        else:
            body = call.answer_body
        call.settle(Ok(Answer(start.status, start.headers, body, start.load)))
        if not start.ends_body:
            self._remove_if_ended(start.call_number, call)

    def _feed_answer(self, chunk: AnswerBody) -> None:
        call = self._calls.get(chunk.call_number)
        if call is None:
            return
        if not call.answer_body.feed(chunk.offset, chunk.content):
            self.close()
        else:
            self._remove_if_ended(chunk.call_number, call)

    def _end_answer(self, end: AnswerEnd) -> None:
        call = self._calls.get(end.call_number)
        if call is None:
            return
        if end.is_complete:
            call.answer_body.finish(end.length)
        else:
            call.answer_body.fail()
        self._remove_if_ended(end.call_number, call)

    def _retire_if_silent(self, started_at: float) -> None:
        """Retire the connection if nothing arrived since a call started.

        A peer whose VM is gone sends no reset, and new calls on this
        connection would get no answer until the transport closes it, which
        can take minutes.
        """
        if self._last_received_at <= started_at:
            self.retire()

    def _cancel_call(self, call_number: int) -> None:
        if call_number not in self._calls:
            return
        self._remove_call(call_number)
        if self._is_ended:
            return
        task = asyncio.ensure_future(self._send_cancel(call_number))
        self._cancel_tasks.add(task)
        task.add_done_callback(self._cancel_tasks.discard)

    async def _send_cancel(self, call_number: int) -> None:
        try:
            await self._channel.send(CallCancel(call_number))
        except ChannelClosed:
            self._end_calls()

    def _fail_call(
        self, call_number: int, refusal: Refusal
    ) -> Result[Answer, Refusal]:
        call = self._calls.get(call_number)
        outcome: Result[Answer, Refusal] = Err(refusal)
        if call is not None:
            call.settle(outcome)
            self._remove_call(call_number)
        return outcome

    def _remove_if_ended(self, call_number: int, call: SentCall) -> None:
        # The head may arrive after the end of the body, so check for both.
        if call.outcome.done() and call.answer_body.is_ended:
            self._remove_call(call_number)

    def _remove_call(self, call_number: int) -> None:
        call = self._calls.pop(call_number, None)
        if call is not None:
            call.stop_sending()
        if self._is_retired and not self._calls:
            self._channel.close()

    def _end_calls(self) -> None:
        """End every call, because no more answers will arrive."""
        if self._is_ended:
            return
        self._is_ended = True
        for call_number in tuple(self._calls):
            self._calls[call_number].answer_body.fail()
            self._fail_call(call_number, _CONNECTION_LOST)
        self.retire()
