"""Ports of a process that can be paused, as a hypervisor pauses a vm."""

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
    """A switch that holds up everything that passes it while it is on."""

    def __init__(self) -> None:
        """Begin running."""
        self._running = asyncio.Event()
        self._running.set()

    def begin(self) -> None:
        """Hold up the process."""
        self._running.clear()

    def end(self) -> None:
        """Let the process continue."""
        self._running.set()

    async def passed(self) -> None:
        """Return while the process is running."""
        if not self._running.is_set():
            await self._running.wait()


class PausableClock(LoopClock):
    """Clock whose sleepers stay asleep during a pause."""

    def __init__(self, pause: Pause, wall_offset: float) -> None:
        """Stop with the pause."""
        super().__init__(wall_offset)
        self._pause = pause

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task for the given time and any pause."""
        await asyncio.sleep(seconds)
        await self._pause.passed()


class PausableChannel:
    """Channel that neither sends nor receives during a pause."""

    def __init__(self, channel: Channel, pause: Pause) -> None:
        """Wrap a channel."""
        self._channel = channel
        self._pause = pause

    async def send(self, message: Message) -> None:
        """Send one message once the process runs."""
        await self._pause.passed()
        await self._channel.send(message)

    async def receive(self) -> Message:
        """Return the next message once the process runs."""
        message = await self._channel.receive()
        await self._pause.passed()
        return message

    def close(self) -> None:
        """End the channel."""
        self._channel.close()


class PausableTransport:
    """Transport of a process that can be paused."""

    def __init__(self, transport: Transport, pause: Pause) -> None:
        """Wrap a transport."""
        self._transport = transport
        self._pause = pause

    async def dial(self, address: Address) -> Channel:
        """Open a channel; raise DialFailed when there is no peer."""
        await self._pause.passed()
        return PausableChannel(await self._transport.dial(address), self._pause)

    async def serve(
        self, address: Address, handler: ChannelHandler
    ) -> Listener:
        """Accept channels and run the handler in a task for each."""

        async def accept(channel: Channel) -> None:
            await handler(PausableChannel(channel, self._pause))

        return await self._transport.serve(address, accept)
