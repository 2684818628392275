"""TCP transport of length-prefixed msgpack frames."""

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
from wagtailline.transports import count_unsent_bytes

LENGTH_PREFIX_BYTES = 4
MAX_FRAME_BYTES = 1024 * 1024
# Longest first frame of connections that begin with a Hello.
MAX_HELLO_FRAME_BYTES = 4096
# Longest frame on connections that carry only calls.
MAX_CALL_FRAME_BYTES = 256 * 1024
DIAL_TIMEOUT_SECONDS = 1.0
# A connection ends when sent bytes stay unacknowledged for this time. A peer
# whose VM is gone, or behind a network partition, sends no reset.
UNACKNOWLEDGED_TIMEOUT_MS = 700
# With more unsent bytes, ``send`` waits until the peer has read some.
WRITE_HIGH_WATER_BYTES = 256 * 1024
# With more bytes of frames not yet received, reading from the peer pauses.
READ_HIGH_WATER_BYTES = 256 * 1024

FaultObserver = Callable[[FrameFault], None]


class StreamChannel(asyncio.Protocol):
    """Channel over one TCP connection.

    It splits the received bytes into frames itself, which saves the
    intermediate wake-ups of a StreamReader.
    """

    def __init__(
        self,
        codec: Codec,
        observe_fault: FaultObserver,
        max_frame_bytes: int = MAX_FRAME_BYTES,
    ) -> None:
        """Take the codec, the fault callback and the frame limit.

        The channel is usable once the connection is made, which calls
        ``on_open``. ``first_frame_bytes`` is the limit of the first frame, if
        it is another one.
        """
        self.on_open: Callable[[StreamChannel], None] | None = None
        self._codec = codec
        self._observe_fault = observe_fault
        self._max_frame_bytes = max_frame_bytes
        self._transport: asyncio.Transport | None = None
        self._incomplete_frame = b''
        self._frames: deque[bytes] = deque()
        self._queued_bytes = 0
        self._arrival: asyncio.Future[None] | None = None
        self._drained: asyncio.Future[None] | None = None
        self._is_reading_paused = False
        self._is_closed = False
        self.first_frame_bytes: int | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up the open connection and call ``on_open``."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        connection = transport.get_extra_info('socket')
        if connection is not None:
            set_unacknowledged_timeout(connection)
        if self.on_open is not None:
            self.on_open(self)

    def data_received(self, data: bytes) -> None:
        """Split bytes into frames and queue the complete ones."""
        data = self._incomplete_frame + data if self._incomplete_frame else data
        frame_start = 0
        while len(data) - frame_start >= LENGTH_PREFIX_BYTES:
            body_start = frame_start + LENGTH_PREFIX_BYTES
            length = int.from_bytes(data[frame_start:body_start], 'big')
            if length > (self.first_frame_bytes or self._max_frame_bytes):
                self._reject(MalformedFrame(f'frame of {length} bytes'))
                return
            if len(data) - body_start < length:
                break
            frame_start = body_start + length
            self.first_frame_bytes = None
            self._frames.append(data[body_start:frame_start])
            self._queued_bytes += length
        self._incomplete_frame = data[frame_start:]
        if self._frames:
            self._process_new_frames()

    def connection_lost(self, exc: Exception | None) -> None:
        """Make every pending ``send`` and ``receive`` raise ChannelClosed."""
        self._is_closed = True
        _wake(self._arrival)
        self.resume_writing()

    def pause_writing(self) -> None:
        """Make ``send`` wait."""
        self._drained = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let every waiting ``send`` go on."""
        drained, self._drained = self._drained, None
        _wake(drained)

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes that the peer has not acknowledged."""
        if self._transport is None or self._is_closed:
            return 0
        return count_unsent_bytes(self._transport)

    async def send(self, message: Message) -> None:
        """Send one message; raise ChannelClosed when the channel is closed."""
        frame = self._codec.encode(message)
        transport = self._transport
        if transport is None or self._is_closed or transport.is_closing():
            raise ChannelClosed
        transport.write(len(frame).to_bytes(LENGTH_PREFIX_BYTES, 'big') + frame)
        if self._drained is not None:
            # All senders share the future, so one cancelled must not end it.
            await asyncio.shield(self._drained)
            if self._is_closed:
                raise ChannelClosed

    async def receive(self) -> Message:
        """Return the next message; raise ChannelClosed after the last one."""
        while not self._frames:
            if self._is_closed:
                raise ChannelClosed
            self._arrival = asyncio.get_running_loop().create_future()
            await self._arrival
        frame = self._frames.popleft()
        self._queued_bytes -= len(frame)
        if self._is_reading_paused:
            self._resume_reading()
        match self._codec.decode(frame):
            case Ok(message):
                return message
            case Err(fault):
                self._reject(fault)
        raise ChannelClosed

    def close(self) -> None:
        """Close the connection and discard the frames not yet received."""
        self._is_closed = True
        self._frames.clear()
        if self._transport is not None:
            self._transport.close()
        _wake(self._arrival)

    def _process_new_frames(self) -> None:
        if self._is_closed:
            self._frames.clear()
            return
        _wake(self._arrival)
        if self._queued_bytes > READ_HIGH_WATER_BYTES and self._transport:
            self._is_reading_paused = True
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._queued_bytes <= READ_HIGH_WATER_BYTES and self._transport:
            self._is_reading_paused = False
            self._transport.resume_reading()

    def _reject(self, fault: FrameFault) -> None:
        self._observe_fault(fault)
        self.close()


class StreamListener:
    """Listening TCP socket."""

    def __init__(self, server: asyncio.Server) -> None:
        """Take a server that accepts connections."""
        self._server = server

    @property
    def address(self) -> Address:
        """Return the bound address, with the port the system chose for 0."""
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    async def close(self) -> None:
        """Stop accepting connections; open ones stay open."""
        self._server.close()


def _ignore_fault(fault: FrameFault) -> None:
    """Ignore the fault, because no observer is set."""


class StreamTransport:
    """Transport that opens and accepts TCP connections."""

    def __init__(
        self,
        codec: Codec,
        observe_fault: FaultObserver = _ignore_fault,
        max_frame_bytes: int = MAX_FRAME_BYTES,
        dial_timeout_seconds: float = DIAL_TIMEOUT_SECONDS,
        first_frame_bytes: int | None = None,
    ) -> None:
        """Take the codec of all channels and their limits.

        ``observe_fault`` gets the fault of each frame that is rejected. A
        peer that announces a frame above ``max_frame_bytes`` is disconnected,
        and so is one whose first frame is above ``first_frame_bytes`` on an
        accepted connection.
        """
        self._first_frame_bytes = first_frame_bytes
        self._dial_timeout_seconds = dial_timeout_seconds
        self._max_frame_bytes = max_frame_bytes
        self._codec = codec
        self._observe_fault = observe_fault
        self._tasks: set[asyncio.Task[None]] = set()

    async def dial(self, address: Address) -> Channel:
        """Open a channel; raise DialFailed if no connection is made in time."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._dial_timeout_seconds):
                _, channel = await loop.create_connection(
                    self._make_channel, address.host, address.port
                )
        except (OSError, ValueError) as error:
            # A host that can't be encoded for a look-up is a ValueError.
            raise DialFailed(address) from error
        return channel

    async def serve(
        self, address: Address, handler: ChannelHandler
    ) -> StreamListener:
        """Accept connections and run the handler in a task for each one."""

        def run_handler(channel: StreamChannel) -> None:
            task = asyncio.ensure_future(_run_handler(handler, channel))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

        def make_channel() -> StreamChannel:
            channel = self._make_channel()
            channel.on_open = run_handler
            channel.first_frame_bytes = self._first_frame_bytes
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


def set_unacknowledged_timeout(connection: socket.socket) -> None:
    """Make the system end a connection whose peer stops acknowledging."""
    connection.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
    )


def _wake(waiter: 'asyncio.Future[None] | None') -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)
