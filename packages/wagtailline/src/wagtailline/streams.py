"""TCP transport: length-prefixed msgpack frames."""

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from typing import cast

from result import Err, Ok

from wagtailline.codec import Codec, FrameFault, MalformedFrame, Message
from wagtailline.ports import (
    Address,
    Channel,
    ChannelClosed,
    ChannelHandler,
    DialFailed,
)

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 1024 * 1024
# Limit for connections that carry only calls.
MAX_CALL_FRAME_BYTES = 256 * 1024
DIAL_TIMEOUT_SECONDS = 1.0
# Unacknowledged bytes end a connection after this time. A peer whose VM is
# gone, or that a partition hides, sends no reset.
UNACKNOWLEDGED_MS = 700
# Above this many unsent bytes a sender waits for the peer to read.
WRITE_HIGH_WATER_BYTES = 256 * 1024
# Above this many bytes that nobody has received, the peer must wait.
READ_HIGH_WATER_BYTES = 256 * 1024

FaultObserver = Callable[[FrameFault], None]


class StreamChannel(asyncio.Protocol):
    """Channel over one TCP connection.

    It cuts frames out of what the transport delivers, without the
    intermediate wake-ups of a StreamReader.
    """

    def __init__(
        self,
        codec: Codec,
        observe_fault: FaultObserver,
        max_frame_bytes: int = MAX_FRAME_BYTES,
    ) -> None:
        """Become usable when the connection is made; then call on_open."""
        self.on_open: Callable[[StreamChannel], None] | None = None
        self._codec = codec
        self._observe_fault = observe_fault
        self._max_frame_bytes = max_frame_bytes
        self._transport: asyncio.Transport | None = None
        self._unparsed = b''
        self._frames: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._arrival: asyncio.Future[None] | None = None
        self._drained: asyncio.Future[None] | None = None
        self._is_reading_paused = False
        self._is_ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over an open connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        endpoint = transport.get_extra_info('socket')
        if endpoint is not None:
            limit_silence(endpoint)
        if self.on_open is not None:
            self.on_open(self)

    def data_received(self, data: bytes) -> None:
        """Take bytes and keep the frames that are complete."""
        data = self._unparsed + data if self._unparsed else data
        start = 0
        while len(data) - start >= LENGTH_BYTES:
            begin = start + LENGTH_BYTES
            length = int.from_bytes(data[start:begin], 'big')
            if length > self._max_frame_bytes:
                self._reject(MalformedFrame(f'frame of {length} bytes'))
                return
            if len(data) - begin < length:
                break
            start = begin + length
            self._frames.append(data[begin:start])
            self._waiting_bytes += length
        self._unparsed = data[start:]
        if self._frames:
            self._announce()

    def connection_lost(self, exc: Exception | None) -> None:
        """Raise ChannelClosed in every pending call."""
        self._is_ended = True
        _wake(self._arrival)
        self.resume_writing()

    def pause_writing(self) -> None:
        """Make senders wait."""
        self._drained = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let senders go on."""
        drained, self._drained = self._drained, None
        _wake(drained)

    async def send(self, message: Message) -> None:
        """Send one message; raise ChannelClosed when the peer is gone."""
        frame = self._codec.encode(message)
        transport = self._transport
        if transport is None or self._is_ended or transport.is_closing():
            raise ChannelClosed
        transport.write(len(frame).to_bytes(LENGTH_BYTES, 'big') + frame)
        if self._drained is not None:
            # Every sender waits for the same future.
            await asyncio.shield(self._drained)
            if self._is_ended:
                raise ChannelClosed

    async def receive(self) -> Message:
        """Return the next message; raise ChannelClosed at the end."""
        while not self._frames:
            if self._is_ended:
                raise ChannelClosed
            self._arrival = asyncio.get_running_loop().create_future()
            await self._arrival
        frame = self._frames.popleft()
        self._waiting_bytes -= len(frame)
        if self._is_reading_paused:
            self._resume_reading()
        match self._codec.decode(frame):
            case Ok(message):
                return message
            case Err(fault):
                self._reject(fault)
        raise ChannelClosed

    def close(self) -> None:
        """End the connection."""
        self._is_ended = True
        self._frames.clear()
        if self._transport is not None:
            self._transport.close()
        _wake(self._arrival)

    def _announce(self) -> None:
        if self._is_ended:
            self._frames.clear()
            return
        _wake(self._arrival)
        if self._waiting_bytes > READ_HIGH_WATER_BYTES and self._transport:
            self._is_reading_paused = True
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._waiting_bytes <= READ_HIGH_WATER_BYTES and self._transport:
            self._is_reading_paused = False
            self._transport.resume_reading()

    def _reject(self, fault: FrameFault) -> None:
        self._observe_fault(fault)
        self.close()


class StreamListener:
    """A listening TCP socket."""

    def __init__(self, server: asyncio.Server) -> None:
        """Take over a server that accepts connections."""
        self._server = server

    @property
    def address(self) -> Address:
        """Return the address, with the port the system chose for port 0."""
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    async def close(self) -> None:
        """Stop accepting; connections that are open stay open."""
        self._server.close()


def _ignore_fault(fault: FrameFault) -> None:
    """Drop the report when nobody observes faults."""


class StreamTransport:
    """Dials and serves TCP."""

    def __init__(
        self,
        codec: Codec,
        observe_fault: FaultObserver = _ignore_fault,
        max_frame_bytes: int = MAX_FRAME_BYTES,
        dial_timeout_seconds: float = DIAL_TIMEOUT_SECONDS,
    ) -> None:
        """Use one codec for all channels.

        A peer that announces a longer frame is disconnected.
        """
        self._dial_timeout_seconds = dial_timeout_seconds
        self._max_frame_bytes = max_frame_bytes
        self._codec = codec
        self._observe_fault = observe_fault
        self._tasks: set[asyncio.Task[None]] = set()

    async def dial(self, address: Address) -> Channel:
        """Open a channel; raise DialFailed when there is no peer."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._dial_timeout_seconds):
                _, channel = await loop.create_connection(
                    self._make_channel, address.host, address.port
                )
        except OSError as problem:
            raise DialFailed(address) from problem
        return channel

    async def serve(
        self, address: Address, handler: ChannelHandler
    ) -> StreamListener:
        """Accept connections and run the handler in a task for each."""

        def run_handler(channel: StreamChannel) -> None:
            task = asyncio.ensure_future(_run_handler(handler, channel))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

        def make_channel() -> StreamChannel:
            channel = self._make_channel()
            channel.on_open = run_handler
            return channel

        server = await asyncio.get_running_loop().create_server(
            make_channel, address.host, address.port
        )
        return StreamListener(server)

    def _make_channel(self) -> StreamChannel:
        return StreamChannel(
            self._codec, self._observe_fault, self._max_frame_bytes
        )


async def _run_handler(handler: ChannelHandler, channel: StreamChannel) -> None:
    try:
        await handler(channel)
    except ChannelClosed:
        return
    finally:
        channel.close()


def limit_silence(endpoint: socket.socket) -> None:
    """End a connection whose peer no longer acknowledges bytes."""
    endpoint.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS
    )


def _wake(waiter: 'asyncio.Future[None] | None') -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)
