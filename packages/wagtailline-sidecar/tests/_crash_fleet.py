"""Daemons that forward requests to upstreams which crash or are killed."""

import asyncio
from random import Random
from typing import NamedTuple

from _fixtures import make_endpoint, make_route, make_shares, make_snapshot
from result import Err, Ok, Result

from wagtailline.calls import Answer, Refusal, WholeBody
from wagtailline.ports import Address
from wagtailline.routing import RetryBudget
from wagtailline_sidecar.admission import Admitted
from wagtailline_sidecar.crash_keepers import CrashKeepers
from wagtailline_sidecar.forwarder import Forwarder
from wagtailline_sidecar.forwarding_state import (
    ForwardingState,
    OutgoingRequest,
)
from wagtailline_sidecar.header_names import HeaderNames
from wagtailline_sidecar.members import Members
from wagtailline_sidecar.nested_calls import CallRatios, NestedCalls
from wagtailline_sidecar.retry_budgets import RetryBudgets
from wagtailline_sidecar.retry_guard import RetryGuard
from wagtailline_sidecar.retry_policy import RetryPolicy
from wagtailline_sidecar.selection import RemoteCost, Selector

HOP_SECONDS = 0.001
SERVICE_SECONDS = 0.2
# Time after which a killed or crashed upstream is back.
RETURN_SECONDS = 2.0
TIMEOUT_SECONDS = 2.0
CRASHING = '/desk/crashes'
DATA_CENTRES = 3


class LoopClock:
    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    boot = monotonic


class Arrival(NamedTuple):
    """Arrival of a request at an upstream that began to run it."""

    at: float
    request_id: str
    is_crash: bool


class Upstream:
    """Upstream whose requests end unanswered when it ends."""

    def __init__(self, fleet: 'CrashFleet') -> None:
        self.fleet = fleet
        self.is_up = True
        self.running: set[asyncio.Future] = set()

    async def run(self, request):
        await asyncio.sleep(HOP_SECONDS)
        if not self.is_up:
            return Err(Refusal('upstream_unreachable', 'no', 250))
        if self.fleet.is_shedding and self.fleet.shed(request.request_id):
            return self.fleet.first_outcome
        loop = asyncio.get_running_loop()
        is_crash = request.target == CRASHING
        self.fleet.arrivals.append(
            Arrival(loop.time(), request.request_id, is_crash)
        )
        ended: asyncio.Future = loop.create_future()
        self.running.add(ended)
        if is_crash:
            self.end()
        else:
            loop.call_later(SERVICE_SECONDS, _finish, ended, True)
        is_answered = await ended
        self.running.discard(ended)
        await asyncio.sleep(HOP_SECONDS)
        if is_answered:
            return Ok(Answer(200, (), WholeBody(b'done')))
        return Err(Refusal('upstream_reset', 'unknown'))

    def end(self) -> None:
        self.is_up = False
        for ended in self.running:
            _finish(ended, False)
        asyncio.get_running_loop().call_later(RETURN_SECONDS, self.start)

    def start(self) -> None:
        self.is_up = True


def _finish(ended: asyncio.Future, is_answered: bool) -> None:
    if not ended.done():
        ended.set_result(is_answered)


class FakeDatagrams:
    """Datagrams of one daemon; those to and from silent hosts are lost."""

    def __init__(self, fleet: 'CrashFleet', host: str) -> None:
        self.fleet = fleet
        self.host = host
        self.receivers: list = []

    def subscribe(self, receiver) -> None:
        self.receivers.append(receiver)

    def send(self, message, hosts) -> None:
        for host in hosts:
            self.fleet.datagrams += 1
            if not {host, self.host} & self.fleet.silent_hosts:
                asyncio.get_running_loop().call_later(
                    HOP_SECONDS, self.fleet.deliver, host, message
                )


class CrashFleet:
    """Daemons and upstreams of one service; the last hosts have upstreams."""

    def __init__(self, daemons: int, upstreams: int, seed: int = 1) -> None:
        self.random = Random(seed)
        self.clock = LoopClock()
        self.arrivals: list[Arrival] = []
        self.events: list = []
        self.datagrams = 0
        self.silent_hosts: set[str] = set()
        self.is_shedding = False
        self.first_outcome: Result = Err(Refusal('upstream_shed', 'no'))
        self.shed_requests: set[str] = set()
        self.hosts = [f'10.0.{n // 250}.{n % 250 + 1}' for n in range(daemons)]
        self.upstreams = {
            host: Upstream(self) for host in self.hosts[-upstreams:]
        }
        self.snapshot = make_snapshot(
            *(
                make_endpoint(f'e{host}', address=Address(host, 80), slots=50)
                for host in self.upstreams
            )
        )
        self.networks = {host: FakeDatagrams(self, host) for host in self.hosts}
        self.forwarders = {
            host: self.make_forwarder(host) for host in self.hosts
        }
        self.requests = 0

    def make_forwarder(self, host: str) -> Forwarder:
        members = Members(self.clock, 'oslo-a')
        members.update_hosts(
            {
                each: f'oslo-{number % DATA_CENTRES}'
                for number, each in enumerate(self.hosts)
            }
        )
        keepers = CrashKeepers(self.networks[host], members, self.clock)
        guard = RetryGuard(keepers, self.clock, self.events.append)
        return Forwarder(
            Selector(self.clock, self.random, 'oslo-a', RemoteCost()),
            self.call_gate,
            self.clock,
            RetryPolicy(
                self.clock,
                RetryBudgets(
                    lambda: RetryBudget(self.clock, 1, 0),
                    make_shares(self.clock, 10000),
                    CallRatios(),
                    self.events.append,
                ),
                guard,
                NestedCalls(self.clock),
            ),
            HeaderNames(),
            self.events.append,
        )

    def shed(self, request_id: str) -> bool:
        """Return whether a request arrives for the first time and is shed."""
        is_first = request_id not in self.shed_requests
        self.shed_requests.add(request_id)
        return is_first

    def deliver(self, host: str, message) -> None:
        for receiver in self.networks[host].receivers:
            receiver(message)

    async def call_gate(self, request, body):
        return await self.upstreams[request.endpoint].run(request)

    async def send(self, host: str, target: str):
        """Send a safe request from a daemon; return its outcome."""
        self.requests += 1
        now = self.clock.monotonic()
        admitted = Admitted(
            self.snapshot,
            make_route(max_attempts=2),
            None,
            f'id-{self.requests}',
            1,
            now + TIMEOUT_SECONDS,
            now + TIMEOUT_SECONDS,
        )
        outgoing = OutgoingRequest('GET', target, (), WholeBody())
        state = ForwardingState(admitted, 'desk')
        return await self.forwarders[host].forward(state, outgoing)

    def count_retries(self, slack_seconds: float) -> int:
        """Count retries of the crashing request after its third crash."""
        crashes = [arrival for arrival in self.arrivals if arrival.is_crash]
        bound = crashes[2].at + slack_seconds
        seen: set[str] = set()
        retries = 0
        for crash in crashes:
            retries += crash.request_id in seen and crash.at > bound
            seen.add(crash.request_id)
        return retries
