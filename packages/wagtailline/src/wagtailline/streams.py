"""TCP transport: length-prefixed msgpack frames."""

import asyncio
from collections.abc import Callable

from result import Err, Ok

from wagtailline.codec import Codec, FrameFault, MalformedFrame, Message
from wagtailline.ports import (
    Address,
    Channel,
    ChannelClosed,
    ChannelHandler,
    DialFailed,
    Listener,
)

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 1024 * 1024
DIAL_TIMEOUT_SECONDS = 1.0
# Above this many unsent bytes a sender waits for the peer to read.
WRITE_HIGH_WATER_BYTES = 256 * 1024

FaultObserver = Callable[[FrameFault], None]


class StreamChannel:
    """Channel over one TCP connection."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        codec: Codec,
        observe_fault: FaultObserver,
    ) -> None:
        """Take over an open connection."""
        self._reader = reader
        self._writer = writer
        self._codec = codec
        self._observe_fault = observe_fault
        writer.transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)

    async def send(self, message: Message) -> None:
        """Send one message; raise ChannelClosed when the peer is gone."""
        frame = self._codec.encode(message)
        if self._writer.is_closing():
            raise ChannelClosed
        self._writer.write(len(frame).to_bytes(LENGTH_BYTES, 'big') + frame)
        try:
            await self._writer.drain()
        except OSError as problem:
            raise ChannelClosed from problem

    async def receive(self) -> Message:
        """Return the next message; raise ChannelClosed at the end."""
        try:
            prefix = await self._reader.readexactly(LENGTH_BYTES)
            length = int.from_bytes(prefix, 'big')
            self._check_length(length)
            frame = await self._reader.readexactly(length)
        except (OSError, asyncio.IncompleteReadError) as problem:
            raise ChannelClosed from problem
        match self._codec.decode(frame):
            case Ok(message):
                return message
            case Err(fault):
                self._reject(fault)
        raise ChannelClosed

    def close(self) -> None:
        """End the connection."""
        self._writer.close()

    def _check_length(self, length: int) -> None:
        if length > MAX_FRAME_BYTES:
            self._reject(MalformedFrame(f'frame of {length} bytes'))
            raise ChannelClosed

    def _reject(self, fault: FrameFault) -> None:
        self._observe_fault(fault)
        self.close()


class StreamListener:
    """A listening TCP socket."""

    def __init__(self, server: asyncio.Server) -> None:
        """Take over a server that accepts connections."""
        self._server = server

    async def close(self) -> None:
        """Stop accepting; connections that are open stay open."""
        self._server.close()


def _ignore_fault(fault: FrameFault) -> None:
    """Drop the report when nobody observes faults."""


class StreamTransport:
    """Dials and serves TCP."""

    def __init__(
        self, codec: Codec, observe_fault: FaultObserver = _ignore_fault
    ) -> None:
        """Use one codec for all channels."""
        self._codec = codec
        self._observe_fault = observe_fault

    async def dial(self, address: Address) -> Channel:
        """Open a channel; raise DialFailed when there is no peer."""
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_SECONDS):
                reader, writer = await asyncio.open_connection(
                    address.host, address.port
                )
        except OSError as problem:
            raise DialFailed(address) from problem
        return StreamChannel(reader, writer, self._codec, self._observe_fault)

    async def serve(
        self, address: Address, handler: ChannelHandler
    ) -> Listener:
        """Accept connections and run the handler in a task for each."""

        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            channel = StreamChannel(
                reader, writer, self._codec, self._observe_fault
            )
            try:
                await handler(channel)
            except ChannelClosed:
                return
            finally:
                channel.close()

        server = await asyncio.start_server(accept, address.host, address.port)
        return StreamListener(server)
