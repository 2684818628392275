"""Load on a service some of whose endpoints name a limit, on virtual time."""

import asyncio
from random import Random

import pytest
from _fixtures import make_endpoint, make_policy, make_route, make_snapshot
from result import Ok

from wagtailline.calls import Answer, Refusal, WholeBody
from wagtailline.ports import Address, LoopClock
from wagtailline.routing import RetryBudget
from wagtailline.uplink import Uplink
from wagtailline_sidecar.admission import Admitted
from wagtailline_sidecar.answer_link import AnswerLink
from wagtailline_sidecar.forwarder import Forwarder
from wagtailline_sidecar.forwarding_state import (
    ForwardingState,
    OutgoingRequest,
)
from wagtailline_sidecar.gate import RATE_LIMITED, Gate
from wagtailline_sidecar.gate_service import GateService
from wagtailline_sidecar.header_names import HeaderNames
from wagtailline_sidecar.rate_limit import RateLimit
from wagtailline_sidecar.selection import RemoteCost, Selector
from wagtailline_sidecar.upstream_notices import read_notice
from wagtailline_sidecar.warm_up import WarmUp

NAMES = HeaderNames()
SLOTS = 6
SERVICE_SECONDS = 0.15
HOP_SECONDS = 0.001
SENDERS = 12
# Two of three endpoints take 8 requests per second each, the third about 40.
LIMITS = (8.0, 8.0, None)
SECONDS = 20


class LimitedUpstream:
    """Upstream that names a limit in its responses, with its gate."""

    def find_refusal_reason(self, instance: str) -> str:
        return ''

    def __init__(self, limit: float | None, random: Random) -> None:
        clock = LoopClock()
        warm_up = WarmUp(clock)
        warm_up.confirm(0)
        self.random = random
        self.headers = ((NAMES.seal, b'1'),)
        if limit is not None:
            self.headers = (*self.headers, (NAMES.rate_limit, b'%r' % limit))
        self.gate = Gate(clock, warm_up, RateLimit(clock))
        self.gate.slots = SLOTS
        self.outcomes: list[str] = []
        self.service = GateService(
            self.gate,
            self,
            self,
            AnswerLink(Uplink(clock), 'vm'),
            clock,
            lambda event: self.outcomes.append(event.outcome),
            NAMES,
        )

    async def run(self, request, body, seconds):
        await asyncio.sleep(self.random.expovariate(1 / SERVICE_SECONDS))
        notice = read_notice(self.headers, NAMES, request.instance)
        self.gate.rate_limit.apply(notice)
        return Ok(Answer(200, self.headers, WholeBody(b'fine')))


class Service:
    """Endpoints of a service, and daemons that send requests to them."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.upstreams = {
            f'10.0.0.{number}': LimitedUpstream(limit, self.random)
            for number, limit in enumerate(LIMITS)
        }
        self.snapshot = make_snapshot(
            *(
                make_endpoint(
                    f'e{number}', address=Address(host, 80), slots=SLOTS
                )
                for number, host in enumerate(self.upstreams)
            )
        )
        clock = LoopClock()
        self.senders = [
            Forwarder(
                Selector(clock, self.random, 'oslo-a', RemoteCost()),
                self.call_gate,
                clock,
                make_policy(clock, lambda: RetryBudget(clock, 0)),
                NAMES,
                lambda event: None,
            )
            for _ in range(SENDERS)
        ]
        self.answered = 0
        self.refusals: list[Refusal] = []

    async def call_gate(self, request, body):
        await asyncio.sleep(HOP_SECONDS)
        return await self.upstreams[request.endpoint].service(request, body)

    async def send(self) -> None:
        now = asyncio.get_running_loop().time()
        admitted = Admitted(
            self.snapshot, make_route(), None, 'id', 1, now + 2, now + 0.5
        )
        outgoing = OutgoingRequest('GET', '/status/', (), WholeBody())
        state = ForwardingState(admitted, 'desk')
        sender = self.random.choice(self.senders)
        outcome = await sender.forward(state, outgoing)
        if outcome.is_ok():
            self.answered += 1
        else:
            self.refusals.append(outcome.err_value)

    async def run(self, requests_per_second: float) -> None:
        """Send requests at random times."""
        tasks = []
        for _ in range(int(requests_per_second * SECONDS)):
            tasks.append(asyncio.ensure_future(self.send()))
            gap = self.random.expovariate(requests_per_second)
            await asyncio.sleep(gap)
        await asyncio.gather(*tasks)

    def count_limited(self) -> int:
        return sum(
            upstream.outcomes.count(RATE_LIMITED)
            for upstream in self.upstreams.values()
        )


@pytest.mark.looptime
@pytest.mark.parametrize('seed', range(3))
async def test_load_goes_elsewhere_before_a_limit_is_used_up(seed):
    """Guards against refusals while other endpoints have room (LIMIT).

    The service takes about 56 requests per second.
    """
    service = Service(seed)
    await service.run(35)
    assert not service.refusals
    assert service.count_limited() <= service.answered / 200


@pytest.mark.looptime
@pytest.mark.parametrize('seed', range(2))
async def test_service_beyond_its_limits_is_fully_used(seed):
    """Guards against limits that keep more away than upstreams ask for."""
    service = Service(seed)
    await service.run(80)
    limited = [limit for limit in LIMITS if limit is not None]
    for upstream, limit in zip(
        service.upstreams.values(), limited, strict=False
    ):
        runs = upstream.outcomes.count('200')
        assert 0.9 * limit * SECONDS <= runs <= 1.1 * limit * SECONDS
    assert all(refusal.executed == 'no' for refusal in service.refusals)
    assert all(refusal.retry_after_ms for refusal in service.refusals)
