"""Serves calls that arrive on connections."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from result import Err, Ok, Result

from wagtailline.calls._bodies import (
    PIECE_BYTES,
    IncomingBody,
    SendWindow,
    WholeBody,
    close_body,
    send_pieces,
)
from wagtailline.calls._deadline import Deadline
from wagtailline.calls._sequence import ReceivedNumbers
from wagtailline.calls._types import (
    Answer,
    Body,
    BodyTruncated,
    CallHandler,
    CallRequest,
    Refusal,
)
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
from wagtailline.messages import PROTOCOL_VERSION, PURPOSE_CALLS, Hello
from wagtailline.ports import Channel, ChannelClosed

# Each call may hold a window of 64 KiB in both directions, so this bounds
# one connection to 128 MiB in the worst case.
MAX_CALLS_PER_CONNECTION = 1024
HELLO_TIMEOUT_SECONDS = 2.0
_MILLISECONDS = 1000

ErrorObserver = Callable[[Exception], None]


def _ignore_error(error: Exception) -> None:
    """Drop the report when nobody observes errors."""


class CallServer:
    """Runs the calls of any number of connections through one handler."""

    def __init__(
        self,
        handler: CallHandler,
        hello: Hello,
        observe_error: ErrorObserver = _ignore_error,
    ) -> None:
        """Answer a peer's Hello with the given one.

        ``observe_error`` gets what the handler raised instead of returning.
        """
        self._handler = _guard(handler, observe_error)
        self._hello = hello
        self._connections: set[_ServedConnection] = set()

    @property
    def in_progress(self) -> int:
        """Return the number of calls that have not ended."""
        return sum(one.in_progress for one in self._connections)

    async def accept(self, channel: Channel) -> None:
        """Read the peer's Hello and serve the channel until it ends."""
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_SECONDS):
                hello = await channel.receive()
        except TimeoutError:
            return channel.close()
        if isinstance(hello, Hello) and is_call_hello(hello):
            return await self.serve(channel)
        return channel.close()

    async def serve(self, channel: Channel) -> None:
        """Serve a channel whose Hello was read, until it ends."""
        connection = _ServedConnection(channel, self._handler)
        self._connections.add(connection)
        try:
            await channel.send(self._hello)
            await connection.run()
        except ChannelClosed:
            return
        finally:
            self._release(connection)

    def _release(self, connection: '_ServedConnection') -> None:
        self._connections.discard(connection)
        connection.stop()


class _ServedCall(NamedTuple):
    body: IncomingBody | WholeBody
    window: SendWindow
    task: 'asyncio.Task[None]'


class _ServedConnection:
    """Calls of one connection; ends them when the connection ends."""

    def __init__(self, channel: Channel, handler: CallHandler) -> None:
        self._channel = channel
        self._handler = handler
        self._calls: dict[int, _ServedCall] = {}
        self._started = ReceivedNumbers()

    @property
    def in_progress(self) -> int:
        return len(self._calls)

    async def run(self) -> None:
        """Handle messages; never sends, so it never waits for the peer."""
        while True:
            self._dispatch(await self._channel.receive())

    def stop(self) -> None:
        """End the connection and cancel every call."""
        self._channel.close()
        for call in tuple(self._calls.values()):
            call.task.cancel()

    def _dispatch(self, message: Message) -> None:
        match message:
            case CallStart():
                self._start(message)
            case CallBody():
                self._feed(message)
            case CallCancel():
                self._cancel(message.call)
            case CallCredit():
                call = self._calls.get(message.call)
                if call is not None:
                    call.window.grant(message.limit)
            case _:
                self._channel.close()

    def _start(self, start: CallStart) -> None:
        # A repeated start must not run the call again.
        if not self._started.add(start.call):
            return
        body: IncomingBody | WholeBody
        if start.ended:
            body = WholeBody(start.content)
        else:
            body = self._incoming(start)
        window = SendWindow()
        task = asyncio.get_running_loop().create_task(
            self._run_call(start, body, window)
        )
        self._calls[start.call] = _ServedCall(body, window, task)

    def _incoming(self, start: CallStart) -> IncomingBody:
        async def grant(limit: int) -> None:
            await self._channel.send(CallCredit(start.call, limit))

        body = IncomingBody(
            grant, _nothing, start.request.timeout_ms / _MILLISECONDS
        )
        body.feed(0, start.content)
        return body

    def _feed(self, piece: CallBody) -> None:
        call = self._calls.get(piece.call)
        if call is None or isinstance(call.body, WholeBody):
            return
        if not call.body.feed(piece.offset, piece.content):
            self._channel.close()
        elif piece.ended:
            call.body.finish(piece.offset + len(piece.content))

    def _cancel(self, number: int) -> None:
        # A cancel that overtakes its start must still stop the call.
        self._started.add(number)
        call = self._calls.get(number)
        if call is not None:
            call.task.cancel()

    async def _run_call(
        self, start: CallStart, body: Body, window: SendWindow
    ) -> None:
        try:
            await self._answer(start, body, window)
        except ChannelClosed:
            return
        finally:
            self._calls.pop(start.call, None)
            await close_body(body)

    async def _answer(
        self, start: CallStart, body: Body, window: SendWindow
    ) -> None:
        if len(self._calls) > MAX_CALLS_PER_CONNECTION:
            refusal = Refusal('too_many_calls', 'no')
            return await self._refuse(start.call, refusal)
        match await self._handler(start.request, body):
            case Ok(answer):
                await self._send_answer(start, answer, window)
            case Err(refusal):
                await self._refuse(start.call, refusal)

    async def _refuse(self, number: int, refusal: Refusal) -> None:
        # Limits are drawn on at the ingress, so a gate names none.
        await self._channel.send(
            CallRefused(
                number,
                refusal.reason,
                refusal.executed,
                refusal.retry_after_ms,
            )
        )

    async def _send_answer(
        self, start: CallStart, answer: Answer, window: SendWindow
    ) -> None:
        head = AnswerStart(
            start.call, answer.status, answer.headers, answer.load, b'', False
        )
        if isinstance(answer.body, WholeBody):
            content = answer.body.content
            if len(content) <= PIECE_BYTES:
                whole = head._replace(content=content, ended=True)
                return await self._channel.send(whole)
        try:
            await self._channel.send(head)
            await self._send_body(start, answer.body, window)
        finally:
            await close_body(answer.body)

    async def _send_body(
        self, start: CallStart, body: Body, window: SendWindow
    ) -> None:
        async def send(offset: int, content: bytes) -> None:
            await self._channel.send(AnswerBody(start.call, offset, content))

        complete = False
        try:
            await send_pieces(
                body, window, send, start.request.timeout_ms / _MILLISECONDS
            )
            complete = True
        except ChannelClosed:
            raise
        except Exception:
            # Whatever cut the body, the peer must learn that it was cut.
            complete = False
        await self._channel.send(AnswerEnd(start.call, window.sent, complete))


def is_call_hello(hello: Hello) -> bool:
    """Tell whether the peer speaks this protocol about calls."""
    return hello.protocol == PROTOCOL_VERSION and hello.purpose == PURPOSE_CALLS


def _guard(handler: CallHandler, observe_error: ErrorObserver) -> CallHandler:
    async def run(request: CallRequest, body: Body) -> Result[Answer, Refusal]:
        try:
            with Deadline(request.timeout_ms / _MILLISECONDS):
                return await handler(request, body)
        except TimeoutError:
            return Err(Refusal('deadline', 'unknown'))
        except BodyTruncated:
            return Err(Refusal('body_truncated', 'unknown'))
        except Exception as error:
            observe_error(error)
            return Err(Refusal('internal_error', 'unknown'))

    return run


def _nothing() -> None:
    """Leave the peer to find out from the answer."""
