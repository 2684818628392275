"""Server of the calls that arrive on connections."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from result import Err, Ok, Result

from wagtailline.calls._bodies import (
    MAX_CHUNK_BYTES,
    IncomingBody,
    SendWindow,
    WholeBody,
    close_body,
    send_chunks,
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
from wagtailline.ports import Channel, ChannelClosed, LoopClock
from wagtailline.uplink import Transfer, Uplink

# Each call may buffer a window of 64 KiB in each direction, so one connection
# holds at most 128 MiB.
MAX_CALLS_PER_CONNECTION = 1024
HELLO_TIMEOUT_SECONDS = 2.0
_MILLISECONDS_PER_SECOND = 1000

ErrorObserver = Callable[[Exception], None]


def _ignore_error(error: Exception) -> None:
    """Ignore the error, because no observer is set."""


class CallServer:
    """Server that passes the calls of all connections to one handler."""

    def __init__(
        self,
        handler: CallHandler,
        hello: Hello,
        observe_error: ErrorObserver = _ignore_error,
        uplink: Uplink | None = None,
    ) -> None:
        """Take the handler and the Hello that answers a peer's Hello.

        ``observe_error`` gets each exception that the handler raises, other
        than a timeout and a truncated body. Bodies of answers wait for their
        turn on ``uplink``; without one, they are sent at once.
        """
        self._uplink = uplink or Uplink(LoopClock())
        self._handler = _guard_handler(handler, observe_error)
        self._observe_error = observe_error
        self._hello = hello
        self._connections: set[_ServedConnection] = set()

    @property
    def in_progress(self) -> int:
        """Return the number of calls in progress on all connections.

        Answers on their way to one peer count as one call.
        """
        return sum(connection.in_progress for connection in self._connections)

    async def accept(self, channel: Channel) -> None:
        """Read the peer's Hello and serve the channel until it closes."""
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_SECONDS):
                hello = await channel.receive()
        except TimeoutError:
            return channel.close()
        if isinstance(hello, Hello) and is_call_hello(hello):
            return await self.serve(channel)
        return channel.close()

    async def serve(self, channel: Channel) -> None:
        """Serve a channel whose Hello was read, until it closes."""
        connection = _ServedConnection(
            channel, self._handler, self._uplink, self._observe_error
        )
        self._connections.add(connection)
        try:
            await channel.send(self._hello)
            await connection.run()
        except ChannelClosed:
            return
        finally:
            self._stop_connection(connection)

    def _stop_connection(self, connection: '_ServedConnection') -> None:
        self._connections.discard(connection)
        connection.stop()


class _ServedCall(NamedTuple):
    body: IncomingBody | WholeBody
    send_window: SendWindow
    task: 'asyncio.Task[None]'


class _ServedConnection:
    """Connection and its calls, which are cancelled when it closes."""

    def __init__(
        self,
        channel: Channel,
        handler: CallHandler,
        uplink: Uplink,
        observe_error: ErrorObserver,
    ) -> None:
        self._observe_error = observe_error
        self._channel = channel
        self._handler = handler
        self._uplink = uplink
        self._calls: dict[int, _ServedCall] = {}
        self._received_numbers = ReceivedNumbers()

    @property
    def in_progress(self) -> int:
        return len(self._calls) or min(self._channel.unsent_bytes, 1)

    async def run(self) -> None:
        """Handle messages until the channel closes.

        This task never sends, so it never waits for the peer to read.
        """
        while True:
            self._dispatch(await self._channel.receive())

    def stop(self) -> None:
        """Close the connection and cancel every call."""
        self._channel.close()
        for call in tuple(self._calls.values()):
            call.task.cancel()

    def _dispatch(self, message: Message) -> None:
        match message:
            case CallStart():
                self._start_call(message)
            case CallBody():
                self._feed_body(message)
            case CallCancel():
                self._cancel_call(message.call_number)
            case CallCredit():
                call = self._calls.get(message.call_number)
                if call is not None:
                    call.send_window.extend(message.end_offset)
            case _:
                self._channel.close()

    def _start_call(self, start: CallStart) -> None:
        # A repeated message must not run the call again.
        if not self._received_numbers.add(start.call_number):
            return
        body: IncomingBody | WholeBody
        if start.ends_body:
            body = WholeBody(start.content)
        else:
            body = self._make_incoming_body(start)
        window = SendWindow()
        task = asyncio.get_running_loop().create_task(
            self._run_call(start, body, window)
        )
        self._calls[start.call_number] = _ServedCall(body, window, task)

    def _make_incoming_body(self, start: CallStart) -> IncomingBody:
        async def send_credit(end_offset: int) -> None:
            await self._channel.send(CallCredit(start.call_number, end_offset))

        body = IncomingBody(
            send_credit,
            _ignore_early_close,
            start.request.timeout_ms / _MILLISECONDS_PER_SECOND,
        )
        body.feed(0, start.content)
        return body

    def _feed_body(self, chunk: CallBody) -> None:
        call = self._calls.get(chunk.call_number)
        if call is None or isinstance(call.body, WholeBody):
            return
        if not call.body.feed(chunk.offset, chunk.content):
            self._channel.close()
        elif chunk.ends_body:
            call.body.finish(chunk.offset + len(chunk.content))

    def _cancel_call(self, call_number: int) -> None:
        # If the cancel arrives before its start, the call must not run later.
        self._received_numbers.add(call_number)
        call = self._calls.get(call_number)
        if call is not None:
            call.task.cancel()

    async def _run_call(
        self, start: CallStart, body: Body, window: SendWindow
    ) -> None:
        try:
            await self._answer_call(start, body, window)
        except ChannelClosed:
            return
        except Exception as error:
            # The peer would wait for an answer that does not come.
            self._observe_error(error)
            self._channel.close()
        finally:
            self._calls.pop(start.call_number, None)
            await close_body(body)

    async def _answer_call(
        self, start: CallStart, body: Body, window: SendWindow
    ) -> None:
        if len(self._calls) > MAX_CALLS_PER_CONNECTION:
            refusal = Refusal('too_many_calls', 'no')
            return await self._send_refusal(start.call_number, refusal)
        match await self._handler(start.request, body):
            case Ok(answer):
                await self._send_answer(start, answer, window)
            case Err(refusal):
                await self._send_refusal(start.call_number, refusal)

    async def _send_refusal(self, call_number: int, refusal: Refusal) -> None:
        # Only the ingress applies rate limits, so a gate's refusal names none.
        await self._channel.send(
            CallRefused(
                call_number,
                refusal.reason,
                refusal.executed,
                refusal.retry_after_ms,
            )
        )

    async def _send_answer(
        self, start: CallStart, answer: Answer, window: SendWindow
    ) -> None:
        head = AnswerStart(
            start.call_number,
            answer.status,
            answer.headers,
            answer.load,
            b'',
            False,
        )
        if isinstance(answer.body, WholeBody):
            content = answer.body.content
            if len(content) <= MAX_CHUNK_BYTES:
                self._uplink.charge(len(content))
                full_answer = head._replace(content=content, ends_body=True)
                return await self._channel.send(full_answer)
        try:
            await self._channel.send(head)
            with self._uplink.open_transfer(
                _known_size(answer.body)
            ) as transfer:
                await self._send_body(start, answer.body, window, transfer)
        finally:
            await close_body(answer.body)

    async def _send_body(
        self,
        start: CallStart,
        body: Body,
        window: SendWindow,
        transfer: Transfer,
    ) -> None:
        async def send(offset: int, content: bytes) -> None:
            await transfer.wait_turn(len(content))
            await self._channel.send(
                AnswerBody(start.call_number, offset, content)
            )

        is_complete = False
        try:
            await send_chunks(
                body,
                window,
                send,
                start.request.timeout_ms / _MILLISECONDS_PER_SECOND,
            )
            is_complete = True
        except ChannelClosed:
            raise
        except Exception:
            # Whatever the cause, the peer must see a truncated body.
            is_complete = False
        await self._channel.send(
            AnswerEnd(start.call_number, window.sent_bytes, is_complete)
        )


def is_call_hello(hello: Hello) -> bool:
    """Return whether a Hello opens a call connection of this version."""
    return hello.protocol == PROTOCOL_VERSION and hello.purpose == PURPOSE_CALLS


def _guard_handler(
    handler: CallHandler, observe_error: ErrorObserver
) -> CallHandler:
    async def run(request: CallRequest, body: Body) -> Result[Answer, Refusal]:
        try:
            with Deadline(request.timeout_ms / _MILLISECONDS_PER_SECOND):
                return await handler(request, body)
        except TimeoutError:
            return Err(Refusal('deadline', 'unknown'))
        except BodyTruncated:
            return Err(Refusal('body_truncated', 'unknown'))
        except Exception as error:
            observe_error(error)
            return Err(Refusal('internal_error', 'unknown'))

    return run


def _known_size(body: Body) -> int:
    """Return the size of a body in bytes, or 0 if it is not known yet."""
    return len(body.content) if isinstance(body, WholeBody) else 0


def _ignore_early_close() -> None:
    """Send nothing: the peer stops sending when the answer ends the call."""
