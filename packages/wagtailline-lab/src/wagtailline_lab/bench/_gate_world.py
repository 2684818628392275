"""Upstreams, gates and senders of one service on virtual time."""

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
    Admission,
    FixedLimit,
    NoLimit,
)
from wagtailline_lab.upstream_model import (
    UpstreamModel,
    UpstreamRequest,
    UpstreamSettings,
)

TIMEOUT_SECONDS = 2.0
_FIRST_WAIT_SECONDS = 0.05
_ATTEMPTS = 3
_SENDERS = 12


class Deployment(NamedTuple):
    """Size of one service; ``accounts`` are weights, also of the rates."""

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
    """One request of the load."""

    request_id: str
    account: int
    deadline: float
    fingerprint: bytes
    poison: bool = False


class Tally:
    """Results of the requests that were sent in the measured time."""

    def __init__(self) -> None:
        """Begin empty."""
        self.counts: Counter[str] = Counter()
        self.latencies: list[float] = []
        self.by_account: dict[int, Counter[str]] = defaultdict(Counter)

    def add(self, account: int, result: str, latency: float) -> None:
        """Count the result of a request."""
        self.counts[result] += 1
        self.by_account[account][result] += 1
        if result == 'ok':
            self.latencies.append(latency)


class World:
    """A service with its gates, as its senders see it."""

    def __init__(self, deployment: Deployment, policy: str, seed: int) -> None:
        """Begin with warm upstreams and gates that know nothing."""
        self.deployment = deployment
        self.random = Random(seed)
        settings = UpstreamSettings(
            slots=deployment.slots, connections=deployment.connections
        )
        names = range(len(deployment.data_centres))
        self.models = [
            UpstreamModel(Random(seed + at), settings, warm=True)
            for at in names
        ]
        self.gates = [self._make_gate(policy, at) for at in names]
        self.in_service = [True for _ in names]
        self.tally = Tally()
        self.measuring = False
        self.excluded: int | None = None
        self._loads = [[float(0) for _ in names] for _ in range(_SENDERS)]

    async def call(self, request: Request) -> str:
        """Send one request and count how it ended."""
        measured = self.measuring
        loop = asyncio.get_running_loop()
        begun = loop.time()
        try:
            async with asyncio.timeout_at(request.deadline):
                result = await self._attempt(request)
        except TimeoutError:
            result = 'late'
        counted = not request.poison and request.account != self.excluded
        if measured and counted:
            self.tally.add(request.account, result, loop.time() - begun)
        return result

    async def _attempt(self, request: Request) -> str:
        sender = self.random.randrange(_SENDERS)
        untried = [at for at, up in enumerate(self.in_service) if up]
        result = 'refused'
        for attempt in range(_ATTEMPTS):
            if not untried:
                break
            at = self._choose(untried, self._loads[sender])
            untried.remove(at)
            last = attempt == _ATTEMPTS - 1 or not untried
            result = await self._forward(request, at, sender, last)
            if result != 'refused':
                break
        return result

    def _choose(self, untried: list[int], loads: list[float]) -> int:
        pair = self.random.sample(untried, min(2, len(untried)))
        return min(pair, key=loads.__getitem__)

    async def _forward(
        self, request: Request, at: int, sender: int, last: bool
    ) -> str:
        gate = self.gates[at]
        hop = self.deployment.hop_seconds
        await asyncio.sleep(hop)
        ticket = Ticket(
            str(request.account),
            self.deployment.accounts[request.account],
            request.deadline,
            request.fingerprint,
        )
        if not last:
            ticket = ticket._replace(max_wait=_FIRST_WAIT_SECONDS)
        match await gate.admit(ticket):
            case Ok(slot):
                outcome: Outcome = Cancelled()
                try:
                    outcome = await self.models[at].send(
                        UpstreamRequest(
                            request.request_id,
                            request.deadline,
                            request.poison,
                        )
                    )
                finally:
                    slot.release(outcome)
                result = _name_result(outcome)
            case Err(_):
                result = 'refused'
        await asyncio.sleep(hop)
        self._loads[sender][at] = gate.load
        return result

    def _make_gate(self, policy: str, at: int) -> Admission:
        slots = self.deployment.slots
        if policy == 'none':
            return NoLimit(slots)
        if policy == 'fixed':
            return FixedLimit(slots)
        return Gate(
            GateIdentity(f'e{at}', 1),
            slots,
            LoopClock(wall_offset=0),
            self.random,
            on_notice=self._tell_peers(at),
        )

    def _tell_peers(self, at: int) -> Callable[[SuspectNotice], None]:
        def tell(notice: SuspectNotice) -> None:
            loop = asyncio.get_running_loop()
            for peer, gate in enumerate(self.gates):
                if peer != at and isinstance(gate, Gate):
                    loop.call_later(
                        self.deployment.hop_seconds,
                        gate.apply_notice,
                        notice,
                    )

        return tell


def _name_result(outcome: Outcome) -> str:
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
