"""Clock and transport of a process that can be paused like a vm."""

import asyncio

from wagtailline.codec import Message
from wagtailline.ports import (
    Address,
    Channel,
    ChannelHandler,
    Listener,
    LoopClock,
    Transport,
)


class Pause:
    """Switch that suspends the clock and the transport of a process."""

    def __init__(self) -> None:
        """Set up the process as running."""
        self._running = asyncio.Event()
        self._running.set()

    def begin(self) -> None:
        """Pause the process."""
        self._running.clear()

    def end(self) -> None:
        """Resume the process."""
        self._running.set()

    async def wait_until_running(self) -> None:
        """Return at once while the process runs, else when it resumes."""
        if not self._running.is_set():
            await self._running.wait()


class PausableClock(LoopClock):
    """Clock whose sleeping tasks do not wake up during a pause."""

    def __init__(self, pause: Pause, wall_offset: float) -> None:
        """Take the pause and the offset of the wall clock in seconds."""
        super().__init__(wall_offset)
        self._pause = pause

    async def sleep(self, seconds: float) -> None:
        """Sleep for the given seconds and until any pause has ended."""
        await asyncio.sleep(seconds)
        await self._pause.wait_until_running()


class PausableChannel:
    """Channel that does not send or receive during a pause."""

    def __init__(self, channel: Channel, pause: Pause) -> None:
        """Take the channel to wrap and the pause of the process."""
        self._channel = channel
        self._pause = pause

    @property
    def unsent_bytes(self) -> int:
        """Return no bytes; the peer gets each message at once."""
        return 0

    async def send(self, message: Message) -> None:
        """Send one message as soon as the process runs."""
        await self._pause.wait_until_running()
        await self._channel.send(message)

    async def receive(self) -> Message:
        """Return the next message as soon as the process runs."""
        message = await self._channel.receive()
        await self._pause.wait_until_running()
        return message

    def close(self) -> None:
        """Close the channel, also during a pause."""
        self._channel.close()


class PausableTransport:
    """Transport of a process that can be paused."""

    def __init__(self, transport: Transport, pause: Pause) -> None:
        """Take the transport to wrap and the pause of the process."""
        self._transport = transport
        self._pause = pause

    async def dial(self, address: Address) -> Channel:
        """Open a channel; raise DialFailed without a reachable listener."""
        await self._pause.wait_until_running()
        return PausableChannel(await self._transport.dial(address), self._pause)

    async def serve(
        self, address: Address, handler: ChannelHandler
    ) -> Listener:
        """Accept channels and run the handler in a task for each."""

        async def accept(channel: Channel) -> None:
            await handler(PausableChannel(channel, self._pause))

        return await self._transport.serve(address, accept)
