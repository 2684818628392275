"""Simulation of many membership services in one event loop."""

import asyncio
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any, NamedTuple, TypeVar

import looptime

from wagtailline.codec import Codec, Message
from wagtailline.membership import (
    MEMBERSHIP_KINDS,
    Member,
    MembershipPorts,
    MembershipService,
    MembershipSettings,
    MemberTable,
    PublishedEndpoints,
)
from wagtailline.ports import Address, LoopClock
from wagtailline_lab._membership_ports import (
    WALL_OFFSET_SECONDS,
    ListSource,
    PausableClock,
)
from wagtailline_lab.network import LinkQuality

_CODEC = Codec(MEMBERSHIP_KINDS)
_LENGTH_BYTES = 4
_FIRST_VM_NUMBER = 1
_Returned = TypeVar('_Returned')


class Traffic(NamedTuple):
    """Messages and bytes sent since the fleet was created."""

    messages: int
    sent_bytes: int


class FleetPeers:
    """Simulated peer transport of one process."""

    def __init__(self, fleet: 'Fleet', node: 'Node') -> None:
        """Send messages of a node through the fleet."""
        self.handlers: dict[type[Message], Callable[[Any], Any]] = {}
        self._fleet = fleet
        self._node = node

    async def request(
        self, endpoint: str, message: Message, timeout_seconds: float
    ) -> Message | None:
        """Return the reply, or None if none arrives in time."""
        await self._node.clock.running.wait()
        reply = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(timeout_seconds):
                self._fleet.send(self._node, endpoint, message, reply)
                received: Message = await reply
                return received
        except TimeoutError:
            return None

    async def post(self, endpoint: str, message: Message) -> None:
        """Send without waiting for a reply; a failure loses the message."""
        await self._node.clock.running.wait()
        self._fleet.send(self._node, endpoint, message, None)

    def register(
        self, message_type: type[Message], handler: Callable[[Any], Any]
    ) -> None:
        """Call the handler for messages of a type; it returns the reply."""
        self.handlers[message_type] = handler


class Node:
    """One simulated process with its membership service."""

    def __init__(self, fleet: 'Fleet', member: Member) -> None:
        """Create the service without starting it."""
        self.address = member.address
        self.clock = PausableClock()
        self.table = MemberTable()
        self.peers = FleetPeers(fleet, self)
        self.list_failures: list[object] = []
        self.alive = True
        self.service = MembershipService(
            member,
            MembershipPorts(
                self.peers,
                self.clock,
                Random(fleet.random.random()),
                self.table,
                fleet.settings,
            ),
            fleet.lists,
            PublishedEndpoints(fleet.endpoints, fleet.data_centres),
            lambda _name, failure: self.list_failures.append(failure),
        )

    @property
    def member(self) -> Member:
        """Latest statement of this process."""
        return self.service.member

    def pause(self) -> None:
        """Pause the process while time runs on."""
        self.clock.running.clear()

    def resume(self) -> None:
        """Continue a paused process."""
        self.clock.running.set()

    async def receive(self, frame: bytes) -> Message | None:
        """Handle a message, after any pause, and return the reply."""
        await self.clock.running.wait()
        message = _CODEC.decode(frame).unwrap()
        if not self.alive:
            return None
        reply: Message | None = await self.peers.handlers[type(message)](
            message
        )
        return reply


class Fleet:
    """Simulated processes and the network between them.

    ``blocked`` returns whether messages from one node to another are lost.
    """

    def __init__(
        self,
        seed: int,
        quality: LinkQuality | None = None,
        settings: MembershipSettings | None = None,
    ) -> None:
        """Start without processes; all random choices follow from the seed."""
        self.random = Random(seed)
        self.quality = quality or LinkQuality()
        self.settings = settings or MembershipSettings()
        self.lists = ListSource()
        self.nodes: list[Node] = []
        self.blocked: Callable[[Node, Node], bool] = _never_blocked
        self.messages = 0
        self.sent_bytes = 0
        self._by_address: dict[Address, Node] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def add(self, endpoint: str, data_centre: str = 'dc1') -> Node:
        """Create, but do not start, the next process at an endpoint."""
        number = len(self.nodes) + _FIRST_VM_NUMBER
        address = Address(f'127.0.{number >> 8}.{number & 255}', 7000)
        started = int(LoopClock(WALL_OFFSET_SECONDS).wall() * 1000)
        member = Member(
            endpoint, f'vm-{number:05}', data_centre, address, started
        )
        node = Node(self, member)
        self.nodes.append(node)
        self._by_address[address] = node
        return node

    async def kill(self, node: Node) -> None:
        """Stop a process without an announcement."""
        node.alive = False
        self._by_address.pop(node.address, None)
        await node.service.stop()

    async def stop(self) -> None:
        """Stop all processes and drop messages in transit."""
        for node in self.nodes:
            await node.service.stop()
        for task in tuple(self._tasks):
            task.cancel()

    def live(self) -> list[Node]:
        """Return the processes that have not been killed."""
        return [node for node in self.nodes if node.alive]

    def endpoints(self) -> tuple[str, ...]:
        """Return no published endpoints, as without a snapshot."""
        return ()

    def data_centres(self) -> tuple[str, ...]:
        """Return the names of the data centres of all processes."""
        return tuple(sorted({node.member.data_centre for node in self.nodes}))

    def traffic(self) -> Traffic:
        """Return the traffic so far."""
        return Traffic(self.messages, self.sent_bytes)

    def send(
        self,
        sender: Node,
        endpoint: str,
        message: Message,
        reply: asyncio.Future[Message] | None,
    ) -> None:
        """Send a message to the address in the table of the sender."""
        known = sender.table.find(endpoint)
        if known is None or not sender.alive:
            return
        receiver = self._by_address.get(known.address)
        frame = self._encode(message)
        for delay in self._draw_delays(sender, receiver):
            task = asyncio.ensure_future(
                self._deliver(sender, receiver, frame, reply, delay)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _deliver(
        self,
        sender: Node,
        receiver: Node | None,
        frame: bytes,
        reply: asyncio.Future[Message] | None,
        delay: float,
    ) -> None:
        await asyncio.sleep(delay)
        if receiver is None or not receiver.alive:
            return
        response = await receiver.receive(frame)
        if response is None or reply is None:
            return
        response_frame = self._encode(response)
        for reply_delay in self._draw_delays(receiver, sender):
            await asyncio.sleep(reply_delay)
            await sender.clock.running.wait()
            if not reply.done() and sender.alive:
                reply.set_result(_CODEC.decode(response_frame).unwrap())

    def _encode(self, message: Message) -> bytes:
        frame = _CODEC.encode(message)
        self.messages += 1
        self.sent_bytes += len(frame) + _LENGTH_BYTES
        return frame

    def _draw_delays(self, sender: Node, receiver: Node | None) -> list[float]:
        if receiver is None or self.blocked(sender, receiver):
            return []
        if self.random.random() < self.quality.loss:
            return []
        copies = 1 + (self.random.random() < self.quality.duplication)
        return [
            self.random.uniform(self.quality.min_delay, self.quality.max_delay)
            for _ in range(copies)
        ]


def _never_blocked(sender: Node, receiver: Node) -> bool:
    return False


def run_fleet(main: Coroutine[Any, Any, _Returned]) -> _Returned:
    """Run a coroutine on virtual time and return its result.

    The idle cycles in which looptime waits for other threads are disabled,
    since a fleet has none; an advance of virtual time then costs a tenth.
    """
    with asyncio.Runner(loop_factory=_new_loop) as runner:
        return runner.run(main)


def _new_loop() -> asyncio.AbstractEventLoop:
    return looptime.new_event_loop(start=0, noop_cycles=0)
