"""In-memory requests between daemons with simulated faults.

Links may lose, delay, duplicate and block messages; processes may be paused
or end without notice.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

from wagtailline.allowance import MessageHandler
from wagtailline.codec import Codec, Message
from wagtailline_lab.network import LinkQuality


class Process(NamedTuple):
    """Identity of a daemon process: its endpoint and incarnation."""

    endpoint: str
    data_centre: str
    incarnation: int


class _Envelope(NamedTuple):
    sender: Process
    request_id: int
    is_reply: bool
    message: Message


class MemoryPeers:
    """Peer links of one process; implements ``PeerRequests``."""

    def __init__(self, network: 'PeerNetwork', process: Process) -> None:
        """Take the network and the process that sends on it."""
        self.process = process
        self.running = asyncio.Event()
        self.running.set()
        self._network = network
        self._handlers: dict[type[Message], MessageHandler] = {}
        self._pending: dict[int, asyncio.Future[Message]] = {}
        self._undelivered: list[_Envelope] = []
        self._last_request_id = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def request(
        self, endpoint: str, message: Message, timeout_seconds: float
    ) -> Message | None:
        """Return the reply, or None if none arrives before the timeout."""
        self._last_request_id += 1
        request_id = self._last_request_id
        reply = asyncio.get_running_loop().create_future()
        self._pending[request_id] = reply
        self._network.send(
            endpoint, _Envelope(self.process, request_id, False, message)
        )
        timer = asyncio.get_running_loop().call_later(
            timeout_seconds, _resolve, reply, None
        )
        try:
            answer: Message | None = await reply
        finally:
            timer.cancel()
            self._pending.pop(request_id)
        await self.running.wait()
        return answer

    async def post(self, endpoint: str, message: Message) -> None:
        """Send a message that has no reply."""
        self._network.send(endpoint, _Envelope(self.process, 0, False, message))

    def register(
        self, message_type: type[Message], handler: MessageHandler
    ) -> None:
        """Run the handler for each received message of the type."""
        self._handlers[message_type] = handler

    def receive(self, envelope: _Envelope) -> None:
        """Process a message, or keep it until the process is resumed."""
        if not self.running.is_set():
            self._undelivered.append(envelope)
        elif envelope.is_reply:
            pending = self._pending.get(envelope.request_id)
            if pending is not None:
                _resolve(pending, envelope.message)
        else:
            task = asyncio.ensure_future(self._run_handler(envelope))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def resume(self) -> None:
        """Resume the process and deliver what arrived during the pause."""
        self.running.set()
        undelivered, self._undelivered = self._undelivered, []
        for envelope in undelivered:
            self.receive(envelope)

    async def _run_handler(self, envelope: _Envelope) -> None:
        handler = self._handlers[type(envelope.message)]
        reply = await handler(envelope.sender.endpoint, envelope.message)
        if reply is not None and envelope.request_id:
            self._network.deliver(
                self.process,
                envelope.sender,
                _Envelope(self.process, envelope.request_id, True, reply),
            )


class PeerNetwork:
    """Network that delivers messages with faults and counts them.

    ``views`` overrides, for a sender and an endpoint, which process gets the
    messages. ``octets`` counts the encoded size with frame headers.
    """

    def __init__(
        self,
        random: Random,
        near: LinkQuality,
        far: LinkQuality,
        codec: Codec | None = None,
    ) -> None:
        """Take the link quality inside and between data centres."""
        self.near = near
        self.far = far
        self.blocked: Callable[[Process, Process], bool] = _blocks_nothing
        self.current_processes: dict[str, Process] = {}
        self.views: dict[tuple[Process, str], Process] = {}
        self.messages = 0
        self.octets = 0
        self._codec = codec
        self._random = random
        self._peers: dict[Process, MemoryPeers] = {}

    def join(self, process: Process) -> MemoryPeers:
        """Add a process as the current one of its endpoint."""
        self._peers[process] = MemoryPeers(self, process)
        self.current_processes[process.endpoint] = process
        return self._peers[process]

    def leave(self, process: Process) -> None:
        """Remove a process; messages from and to it are dropped."""
        self._peers.pop(process, None)

    def send(self, endpoint: str, envelope: _Envelope) -> None:
        """Deliver to the process that the sender assumes at an endpoint."""
        receiver = self.views.get(
            (envelope.sender, endpoint), self.current_processes.get(endpoint)
        )
        if receiver is not None:
            self.deliver(envelope.sender, receiver, envelope)

    def deliver(
        self, sender: Process, receiver: Process, envelope: _Envelope
    ) -> None:
        """Drop a message or schedule one or two deliveries of it."""
        if sender not in self._peers:
            return
        self.messages += 1
        if self._codec is not None:
            self.octets += len(self._codec.encode(envelope.message)) + 4
        if self.blocked(sender, receiver):
            return
        same_data_centre = sender.data_centre == receiver.data_centre
        quality = self.near if same_data_centre else self.far
        if self._random.random() < quality.loss:
            return
        loop = asyncio.get_running_loop()
        for _ in range(1 + (self._random.random() < quality.duplication)):
            delay = self._random.uniform(quality.min_delay, quality.max_delay)
            loop.call_later(delay, self._receive, receiver, envelope)

    def _receive(self, receiver: Process, envelope: _Envelope) -> None:
        peers = self._peers.get(receiver)
        if peers is not None:
            peers.receive(envelope)


def _resolve(pending: 'asyncio.Future[Any]', message: Message | None) -> None:
    if not pending.done():
        pending.set_result(message)


def _blocks_nothing(sender: Process, receiver: Process) -> bool:
    return False
