"""Calls in progress over one connection, at their sender."""

import asyncio
from collections.abc import Callable
from itertools import count

from result import Err, Ok, Result

from wagtailline.calls._bodies import (
    PIECE_BYTES,
    IncomingBody,
    WholeBody,
    close_body,
    send_pieces,
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

_MILLISECONDS = 1000
_LOST = Refusal('connection_lost', 'unknown')
_NOT_SENT = Refusal('connection_lost', 'no')


class CallConnection:
    """One connection to a gate."""

    def __init__(
        self,
        channel: Channel,
        address: Address,
        forget: Callable[['CallConnection'], None],
    ) -> None:
        """Take over a channel after the exchange of Hellos.

        ``forget`` is called once when new calls need another connection.
        """
        self._channel = channel
        self._address = address
        self._forget = forget
        self._calls: dict[int, SentCall] = {}
        self._numbers = count(1)
        self._retired = False
        self._ended = False
        self._received_at = float(0)
        self._cancels: set[asyncio.Task[None]] = set()
        self._receiver = asyncio.ensure_future(self._receive())

    def is_usable(self, address: Address | None) -> bool:
        """Tell whether a new call to the address may be sent here."""
        return not self._retired and self._address == address

    def retire(self) -> None:
        """Take no new calls and close after those in progress."""
        if not self._retired:
            self._retired = True
            self._forget(self)
        if not self._calls:
            self.close()

    def close(self) -> None:
        """End the connection and every call on it."""
        self._channel.close()
        self._receiver.cancel()
        self._end()

    async def call(
        self, request: CallRequest, body: Body
    ) -> Result[Answer, Refusal]:
        """Send a call and wait for the head of its answer."""
        if self._ended:
            return Err(_NOT_SENT)
        if request.timeout_ms <= 0:
            return Err(Refusal('deadline', 'no'))
        number = next(self._numbers)
        timeout_seconds = request.timeout_ms / _MILLISECONDS
        call = self._register(number, timeout_seconds)
        started = asyncio.get_running_loop().time()
        try:
            with Deadline(timeout_seconds):
                await self._send_start(number, call, request, body)
                return await call.head
        except ChannelClosed:
            return self._drop(number, _LOST)
        except TimeoutError:
            self._suspect(started)
            self._cancel(number)
            return Err(Refusal('deadline', 'unknown'))
        except asyncio.CancelledError:
            self._cancel(number)
            raise

    def _register(self, number: int, stall_seconds: float) -> SentCall:
        async def grant(limit: int) -> None:
            try:
                await self._channel.send(CallCredit(number, limit))
            except ChannelClosed:
                self._end()

        def make_body() -> IncomingBody:
            return IncomingBody(
                grant, lambda: self._cancel(number), stall_seconds
            )

        call = SentCall(make_body)
        self._calls[number] = call
        return call

    async def _send_start(
        self, number: int, call: SentCall, request: CallRequest, body: Body
    ) -> None:
        if isinstance(body, WholeBody) and len(body.content) <= PIECE_BYTES:
            await self._channel.send(
                CallStart(number, request, body.content, ended=True)
            )
            return
        await self._channel.send(CallStart(number, request, b'', ended=False))
        call.sender = asyncio.ensure_future(
            self._send_body(number, call, request, body)
        )

    async def _send_body(
        self, number: int, call: SentCall, request: CallRequest, body: Body
    ) -> None:
        async def send(offset: int, content: bytes) -> None:
            await self._channel.send(
                CallBody(number, offset, content, ended=False)
            )

        try:
            await send_pieces(
                body, call.window, send, request.timeout_ms / _MILLISECONDS
            )
            await self._channel.send(
                CallBody(number, call.window.sent, b'', ended=True)
            )
        except Exception:
            # The gate must not take a body that was cut for a whole one.
            call.settle(Err(Refusal('body_truncated', 'unknown')))
            call.answer.fail()
            self._cancel(number)
        finally:
            await close_body(body)

    async def _receive(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            while True:
                message = await self._channel.receive()
                self._received_at = loop.time()
                self._dispatch(message)
        except ChannelClosed:
            self._end()

    def _dispatch(self, message: Message) -> None:
        """Handle a message; those of ended calls are dropped."""
        match message:
            case AnswerStart():
                self._start_answer(message)
            case AnswerBody():
                self._feed(message)
            case AnswerEnd():
                self._end_answer(message)
            case CallRefused():
                call = self._calls.get(message.call)
                if call is not None and not call.head.done():
                    self._drop(message.call, Refusal(*message[1:]))
            case CallCredit():
                call = self._calls.get(message.call)
                if call is not None:
                    call.window.grant(message.limit)
            case _:
                self.close()

    def _start_answer(self, start: AnswerStart) -> None:
        call = self._calls.get(start.call)
        if call is None or call.head.done():
            return
        if start.ended:
            body: Body = WholeBody(start.content)
            self._forget_call(start.call)
        else:
            body = call.answer
        call.settle(Ok(Answer(start.status, start.headers, body, start.load)))
        if not start.ended:
            self._forget_if_over(start.call, call)

    def _feed(self, piece: AnswerBody) -> None:
        call = self._calls.get(piece.call)
        if call is None:
            return
        if not call.answer.feed(piece.offset, piece.content):
            self.close()
        else:
            self._forget_if_over(piece.call, call)

    def _end_answer(self, end: AnswerEnd) -> None:
        call = self._calls.get(end.call)
        if call is None:
            return
        if end.complete:
            call.answer.finish(end.length)
        else:
            call.answer.fail()
        self._forget_if_over(end.call, call)

    def _suspect(self, started: float) -> None:
        """Replace a connection that was silent for a whole timeout.

        A peer whose VM is gone sends no reset, and the transport would
        hold new calls for minutes.
        """
        if self._received_at <= started:
            self.retire()

    def _cancel(self, number: int) -> None:
        if number not in self._calls:
            return
        self._forget_call(number)
        if self._ended:
            return
        task = asyncio.ensure_future(self._send_cancel(number))
        self._cancels.add(task)
        task.add_done_callback(self._cancels.discard)

    async def _send_cancel(self, number: int) -> None:
        try:
            await self._channel.send(CallCancel(number))
        except ChannelClosed:
            self._end()

    def _drop(self, number: int, refusal: Refusal) -> Result[Answer, Refusal]:
        call = self._calls.get(number)
        outcome: Result[Answer, Refusal] = Err(refusal)
        if call is not None:
            call.settle(outcome)
            self._forget_call(number)
        return outcome

    def _forget_if_over(self, number: int, call: SentCall) -> None:
        # The head may arrive behind the end, so both are needed.
        if call.head.done() and call.answer.is_over:
            self._forget_call(number)

    def _forget_call(self, number: int) -> None:
        call = self._calls.pop(number, None)
        if call is not None:
            call.stop_sending()
        if self._retired and not self._calls:
            self._channel.close()

    def _end(self) -> None:
        """End every call, because no answer will come any more."""
        if self._ended:
            return
        self._ended = True
        for number in tuple(self._calls):
            self._calls[number].answer.fail()
            self._drop(number, _LOST)
        self.retire()
