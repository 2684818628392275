"""In-memory transport with simulated network faults.

Messages may be lost, delayed, duplicated, reordered or blocked by a partition.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from wagtailline.codec import Message
from wagtailline.ports import (
    Address,
    Channel,
    ChannelClosed,
    ChannelHandler,
    DialFailed,
    Listener,
)


class LinkQuality(NamedTuple):
    """Delays of a link in seconds and its probabilities of faults."""

    min_delay: float = 0.0005
    max_delay: float = 0.0015
    loss: float = 0
    duplication: float = 0


class MemoryChannel:
    """One end of a channel between two addresses."""

    def __init__(
        self, network: 'MemoryNetwork', local: Address, remote: Address
    ) -> None:
        """Set up one end; the network sets ``peer`` once both ends exist."""
        self.local = local
        self.remote = remote
        self.peer: MemoryChannel | None = None
        self.closed = asyncio.Event()
        self._network = network
        # None marks the end of the channel. It is queued behind the messages
        # that were delivered before the channel closed.
        self._inbox: asyncio.Queue[Message | None] = asyncio.Queue()

    @property
    def unsent_bytes(self) -> int:
        """Return no bytes; the peer gets each message at once."""
        return 0

    async def send(self, message: Message) -> None:
        """Send one message; raise ChannelClosed if the channel is closed."""
        if self.closed.is_set():
            raise ChannelClosed
        self._network.carry(self, message)

    async def receive(self) -> Message:
        """Return the next message; raise ChannelClosed after the last one."""
        message = await self._inbox.get()
        if message is None:
            self._inbox.put_nowait(None)
            raise ChannelClosed
        return message

    def close(self) -> None:
        """Close both ends of the channel."""
        if self.closed.is_set():
            return
        self.closed.set()
        self._inbox.put_nowait(None)
        if self.peer is not None and not self.peer.closed.is_set():
            self.peer.close()

    def deliver(self, message: Message) -> None:
        """Put a message into the inbox unless the channel is closed."""
        if not self.closed.is_set():
            self._inbox.put_nowait(message)


class MemoryNetwork:
    """Network of memory transports that can be partitioned by address."""

    def __init__(self, random: Random, quality: LinkQuality) -> None:
        """Take the link quality and the generator that draws the faults."""
        self.quality = quality
        self.messages = 0
        self.dials = 0
        self.observe: Callable[[Address, Address, Message], None] | None = None
        self._random = random
        self._handlers: dict[Address, ChannelHandler] = {}
        self._blocked: Callable[[Address, Address], bool] = _blocks_nothing
        self._channels: list[MemoryChannel] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def transport(self, local: Address) -> 'MemoryTransport':
        """Return the transport of the process at an address."""
        return MemoryTransport(self, local)

    def partition(self, blocked: Callable[[Address, Address], bool]) -> None:
        """Drop messages and refuse dials where ``blocked`` returns true."""
        self._blocked = blocked

    def heal(self) -> None:
        """Remove the partition."""
        self._blocked = _blocks_nothing

    def stop_process(self, address: Address) -> None:
        """Close the listener and all channels of an address."""
        self._handlers.pop(address, None)
        for channel in list(self._channels):
            if channel.local == address:
                channel.close()
        self._channels = [
            open_channel
            for open_channel in self._channels
            if not open_channel.closed.is_set()
        ]

    def listen(self, address: Address, handler: ChannelHandler) -> None:
        """Run the handler for each channel that is opened to an address."""
        self._handlers[address] = handler

    def stop_listening(self, address: Address) -> None:
        """Accept no more channels at an address; open ones stay open."""
        self._handlers.pop(address, None)

    def connect(self, local: Address, remote: Address) -> MemoryChannel:
        """Open a channel; raise DialFailed without a reachable listener."""
        self.dials += 1
        handler = self._handlers.get(remote)
        if handler is None or self._blocked(local, remote):
            raise DialFailed(remote)
        local_end = MemoryChannel(self, local, remote)
        remote_end = MemoryChannel(self, remote, local)
        local_end.peer, remote_end.peer = remote_end, local_end
        self._channels.extend((local_end, remote_end))
        task = asyncio.ensure_future(_run_handler(handler, remote_end))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return local_end

    def carry(self, sender: MemoryChannel, message: Message) -> None:
        """Schedule the delivery of a message, or drop it."""
        self.messages += 1
        if self.observe is not None:
            self.observe(sender.local, sender.remote, message)
        receiver = sender.peer
        if receiver is None or self._blocked(sender.local, sender.remote):
            return
        if self._random.random() < self.quality.loss:
            return
        copies = 1 + (self._random.random() < self.quality.duplication)
        loop = asyncio.get_running_loop()
        for _ in range(copies):
            loop.call_later(self._draw_delay(), receiver.deliver, message)

    def _draw_delay(self) -> float:
        return self._random.uniform(
            self.quality.min_delay, self.quality.max_delay
        )


class MemoryListener:
    """Listener at an address of the memory network."""

    def __init__(self, network: MemoryNetwork, address: Address) -> None:
        """Take the network and the address that it listens at."""
        self._network = network
        self._address = address

    async def close(self) -> None:
        """Accept no more channels; open ones stay open."""
        self._network.stop_listening(self._address)


class MemoryTransport:
    """Transport of one process of the memory network."""

    def __init__(self, network: MemoryNetwork, local: Address) -> None:
        """Take the network and the address of the process."""
        self._network = network
        self._local = local

    async def dial(self, address: Address) -> Channel:
        """Open a channel; raise DialFailed without a reachable listener."""
        await asyncio.sleep(self._network.quality.max_delay)
        return self._network.connect(self._local, address)

    async def serve(
        self, address: Address, handler: ChannelHandler
    ) -> Listener:
        """Accept channels and run the handler in a task for each."""
        self._network.listen(address, handler)
        return MemoryListener(self._network, address)


async def _run_handler(handler: ChannelHandler, channel: MemoryChannel) -> None:
    try:
        await handler(channel)
    except ChannelClosed:
        return
    finally:
        channel.close()


def _blocks_nothing(local: Address, remote: Address) -> bool:
    return False
