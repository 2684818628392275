"""In-memory peer links between daemons that can be cut, paused and killed."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

from wagtailline.allowance import MessageHandler
from wagtailline.codec import Codec, Message
from wagtailline_lab.network import LinkQuality


class Process(NamedTuple):
    """A daemon process by its endpoint and incarnation."""

    endpoint: str
    data_centre: str
    incarnation: int


class _Envelope(NamedTuple):
    sender: Process
    number: int
    is_reply: bool
    message: Message


class MemoryPeers:
    """Peer links of one process; implements ``PeerRequests``."""

    def __init__(self, network: 'PeerNetwork', process: Process) -> None:
        """Belong to a network as one process."""
        self.process = process
        self.running = asyncio.Event()
        self.running.set()
        self._network = network
        self._handlers: dict[type[Message], MessageHandler] = {}
        self._pending: dict[int, asyncio.Future[Message]] = {}
        self._held: list[_Envelope] = []
        self._last = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def request(
        self, endpoint: str, message: Message, timeout_seconds: float
    ) -> Message | None:
        """Return the reply, None when there is none in time."""
        self._last += 1
        number = self._last
        reply = asyncio.get_running_loop().create_future()
        self._pending[number] = reply
        self._network.send(
            endpoint, _Envelope(self.process, number, False, message)
        )
        timer = asyncio.get_running_loop().call_later(
            timeout_seconds, _resolve, reply, None
        )
        try:
            answer: Message | None = await reply
        finally:
            timer.cancel()
            self._pending.pop(number)
        await self.running.wait()
        return answer

    async def post(self, endpoint: str, message: Message) -> None:
        """Send a message that has no reply."""
        self._network.send(endpoint, _Envelope(self.process, 0, False, message))

    def register(
        self, message_type: type[Message], handler: MessageHandler
    ) -> None:
        """Run the handler for each message of the type that arrives."""
        self._handlers[message_type] = handler

    def receive(self, envelope: _Envelope) -> None:
        """Take a message now, or on resuming when paused."""
        if not self.running.is_set():
            self._held.append(envelope)
        elif envelope.is_reply:
            pending = self._pending.get(envelope.number)
            if pending is not None:
                _resolve(pending, envelope.message)
        else:
            task = asyncio.ensure_future(self._run_handler(envelope))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def resume(self) -> None:
        """Take the messages that arrived during the pause."""
        self.running.set()
        held, self._held = self._held, []
        for envelope in held:
            self.receive(envelope)

    async def _run_handler(self, envelope: _Envelope) -> None:
        handler = self._handlers[type(envelope.message)]
        reply = await handler(envelope.sender.endpoint, envelope.message)
        if reply is not None and envelope.number:
            self._network.deliver(
                self.process,
                envelope.sender,
                _Envelope(self.process, envelope.number, True, reply),
            )


class PeerNetwork:
    """Carries messages between processes with faults and counts them."""

    def __init__(
        self,
        random: Random,
        near: LinkQuality,
        far: LinkQuality,
        codec: Codec | None = None,
    ) -> None:
        """Use one quality inside data centres and another between them."""
        self.near = near
        self.far = far
        self.blocked: Callable[[Process, Process], bool] = _never
        self.occupants: dict[str, Process] = {}
        self.views: dict[tuple[Process, str], Process] = {}
        self.messages = 0
        self.octets = 0
        self._codec = codec
        self._random = random
        self._links: dict[Process, MemoryPeers] = {}

    def join(self, process: Process) -> MemoryPeers:
        """Add a process as the latest occupant of its endpoint."""
        self._links[process] = MemoryPeers(self, process)
        self.occupants[process.endpoint] = process
        return self._links[process]

    def leave(self, process: Process) -> None:
        """Drop all that goes to a process from now on."""
        self._links.pop(process, None)

    def send(self, endpoint: str, envelope: _Envelope) -> None:
        """Deliver to the occupant of an endpoint as the sender sees it."""
        receiver = self.views.get(
            (envelope.sender, endpoint), self.occupants.get(endpoint)
        )
        if receiver is not None:
            self.deliver(envelope.sender, receiver, envelope)

    def deliver(
        self, sender: Process, receiver: Process, envelope: _Envelope
    ) -> None:
        """Lose, delay or duplicate a message to a process."""
        if sender not in self._links:
            return
        self.messages += 1
        if self._codec is not None:
            self.octets += len(self._codec.encode(envelope.message)) + 4
        if self.blocked(sender, receiver):
            return
        near = sender.data_centre == receiver.data_centre
        quality = self.near if near else self.far
        if self._random.random() < quality.loss:
            return
        loop = asyncio.get_running_loop()
        for _ in range(1 + (self._random.random() < quality.duplication)):
            delay = self._random.uniform(quality.min_delay, quality.max_delay)
            loop.call_later(delay, self._arrive, receiver, envelope)

    def _arrive(self, receiver: Process, envelope: _Envelope) -> None:
        link = self._links.get(receiver)
        if link is not None:
            link.receive(envelope)


def _resolve(pending: 'asyncio.Future[Any]', message: Message | None) -> None:
    if not pending.done():
        pending.set_result(message)


def _never(sender: Process, receiver: Process) -> bool:
    return False
