"""Simulation of one service: its upstreams, gates and senders."""

import asyncio
from collections import Counter, defaultdict
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from result import Err, Ok

from wagtailline.admission import (
    Answered,
    Cancelled,
    ConnectionRefused,
    Gate,
    GateIdentity,
    Outcome,
    RefusedByUpstream,
    ResetDuringAnswer,
    SuspectNotice,
    Ticket,
    TimedOut,
)
from wagtailline.ports import LoopClock
from wagtailline_lab.bench._gate_baselines import (
    AdmissionGate,
    FixedLimit,
    NoLimit,
)
from wagtailline_lab.upstream_model import (
    UpstreamModel,
    UpstreamRequest,
    UpstreamSettings,
)

TIMEOUT_SECONDS = 2.0
# Longest wait in a queue while the request can still be sent to another gate.
_RETRYABLE_WAIT_SECONDS = 0.05
_MAX_ATTEMPTS = 3
_SENDERS = 12


class Deployment(NamedTuple):
    """Size of one service.

    ``data_centres`` names the data centre of each upstream. ``accounts`` are
    the weights of the client accounts, which also set their request rates.
    """

    name: str
    data_centres: tuple[str, ...]
    slots: int
    connections: int
    hop_seconds: float
    accounts: tuple[int, ...] = (8, 6, 4, 1, 1, 1, 1, 1)


FJORDPENN = Deployment('fjordpenn', ('osl1', 'osl2', 'osl3'), 6, 120, 0.001)
SHEEREEN = Deployment(
    'sheereen', ('lhe1', 'lhe2', 'fsd', 'mul', 'lhe1'), 9, 130, 0.0015
)


class Request(NamedTuple):
    """One request of the load; ``poison`` means that it crashes upstreams."""

    request_id: str
    account: int
    deadline: float
    fingerprint: bytes
    poison: bool = False


class RequestStatistics:
    """Results of the requests that were sent while measuring."""

    def __init__(self) -> None:
        """Start without results."""
        self.counts: Counter[str] = Counter()
        self.latencies: list[float] = []
        self.by_account: dict[int, Counter[str]] = defaultdict(Counter)

    def add(self, account: int, result: str, latency: float) -> None:
        """Count the result of a request; keep its latency if it succeeded."""
        self.counts[result] += 1
        self.by_account[account][result] += 1
        if result == 'ok':
            self.latencies.append(latency)


class ServiceSimulation:
    """A service of which each upstream has its own admission gate."""

    def __init__(self, deployment: Deployment, policy: str, seed: int) -> None:
        """Create warm upstreams, and gates without any history."""
        self.deployment = deployment
        self.random = Random(seed)
        settings = UpstreamSettings(
            slots=deployment.slots, connections=deployment.connections
        )
        indexes = range(len(deployment.data_centres))
        self.upstreams = [
            UpstreamModel(Random(seed + index), settings, warm=True)
            for index in indexes
        ]
        self.gates = [self._make_gate(policy, index) for index in indexes]
        self.in_service = [True for _ in indexes]
        self.request_statistics = RequestStatistics()
        self.measuring = False
        self.excluded_account: int | None = None
        self._reported_loads = [
            [float(0) for _ in indexes] for _ in range(_SENDERS)
        ]

    async def call(self, request: Request) -> str:
        """Send one request, and return and count its result."""
        measured = self.measuring
        loop = asyncio.get_running_loop()
        started = loop.time()
        try:
            async with asyncio.timeout_at(request.deadline):
                result = await self._attempt(request)
        except TimeoutError:
            result = 'late'
        is_counted = (
            not request.poison and request.account != self.excluded_account
        )
        if measured and is_counted:
            self.request_statistics.add(
                request.account, result, loop.time() - started
            )
        return result

    async def _attempt(self, request: Request) -> str:
        sender = self.random.randrange(_SENDERS)
        untried_gates = [
            index
            for index, is_in_service in enumerate(self.in_service)
            if is_in_service
        ]
        result = 'refused'
        for attempt in range(_MAX_ATTEMPTS):
            if not untried_gates:
                break
            index = self._choose_gate(
                untried_gates, self._reported_loads[sender]
            )
            untried_gates.remove(index)
            is_last = attempt == _MAX_ATTEMPTS - 1 or not untried_gates
            result = await self._forward(request, index, sender, is_last)
            if result != 'refused':
                break
        return result

    def _choose_gate(self, untried_gates: list[int], loads: list[float]) -> int:
        sampled = self.random.sample(untried_gates, min(2, len(untried_gates)))
        return min(sampled, key=loads.__getitem__)

    async def _forward(
        self, request: Request, index: int, sender: int, is_last: bool
    ) -> str:
        gate = self.gates[index]
        hop_delay = self.deployment.hop_seconds
        await asyncio.sleep(hop_delay)
        ticket = Ticket(
            str(request.account),
            self.deployment.accounts[request.account],
            request.deadline,
            request.fingerprint,
        )
        if not is_last:
            ticket = ticket._replace(max_wait=_RETRYABLE_WAIT_SECONDS)
        match await gate.admit(ticket):
            case Ok(slot):
                outcome: Outcome = Cancelled()
                try:
                    outcome = await self.upstreams[index].send(
                        UpstreamRequest(
                            request.request_id,
                            request.deadline,
                            request.poison,
                        )
                    )
                finally:
                    slot.release(outcome)
                result = _classify_outcome(outcome)
            case Err(_):
                result = 'refused'
        await asyncio.sleep(hop_delay)
        self._reported_loads[sender][index] = gate.load
        return result

    def _make_gate(self, policy: str, index: int) -> AdmissionGate:
        slots = self.deployment.slots
        if policy == 'none':
            return NoLimit(slots)
        if policy == 'fixed':
            return FixedLimit(slots)
        return Gate(
            GateIdentity(f'e{index}', 1),
            slots,
            LoopClock(wall_offset=0),
            self.random,
            on_notice=self._make_broadcast(index),
        )

    def _make_broadcast(self, index: int) -> Callable[[SuspectNotice], None]:
        def broadcast(notice: SuspectNotice) -> None:
            loop = asyncio.get_running_loop()
            for peer, gate in enumerate(self.gates):
                if peer != index and isinstance(gate, Gate):
                    loop.call_later(
                        self.deployment.hop_seconds,
                        gate.apply_notice,
                        notice,
                    )

        return broadcast


def _classify_outcome(outcome: Outcome) -> str:
    match outcome:
        case Answered():
            return 'ok'
        case RefusedByUpstream() | ConnectionRefused():
            return 'refused'
        case ResetDuringAnswer():
            return 'cut'
        case TimedOut():
            return 'late'
    return 'lost'
