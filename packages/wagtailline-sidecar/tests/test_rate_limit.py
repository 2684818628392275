"""Tests of the limit that an upstream names, at the gate, on virtual time."""

import asyncio
from random import Random

import pytest
from _fixtures import (
    FakeClock,
    make_configuration,
    make_endpoint,
    make_snapshot,
)
from _simulated_server import SimulatedServer, now
from hypothesis import given, settings
from hypothesis import strategies as st

from wagtailline.calls import CallRequest, WholeBody
from wagtailline.ports import Address, LoopClock
from wagtailline.uplink import Uplink
from wagtailline_sidecar import upstream as upstream_module
from wagtailline_sidecar.answer_link import AnswerLink
from wagtailline_sidecar.gate import RATE_LIMITED, Gate, Ticket
from wagtailline_sidecar.gate_service import GateService
from wagtailline_sidecar.header_names import HeaderNames
from wagtailline_sidecar.local_upstream import LocalUpstream, UpstreamParts
from wagtailline_sidecar.rate_limit import MIN_RATE, RateLimit
from wagtailline_sidecar.upstream import Upstream
from wagtailline_sidecar.upstream_notices import (
    RateLimitAbsent,
    RateLimitField,
    RateLimitNamed,
    RateLimitUnreadable,
    UpstreamNotice,
)
from wagtailline_sidecar.warm_up import WarmUp

ADDRESS = Address('10.0.0.1', 8000)
NAMES = HeaderNames()
SLOTS = 12
SERVICE_SECONDS = 0.2
REQUESTS_PER_SECOND = 60
# The users' rule: requests in any window, once a limit has been named so long.
WINDOW_SECONDS = 4
SETTLING_SECONDS = 3


def max_requests(rate: float) -> float:
    """Return how many requests a limit allows in one window."""
    return 1.5 * rate * WINDOW_SECONDS + 5


def most_in_one_window(starts: list[float], begin: float) -> int:
    counted = [start for start in starts if start >= begin]
    return max(
        (
            sum(first <= start < first + WINDOW_SECONDS for start in counted)
            for first in counted
        ),
        default=0,
    )


class Vm:
    """Gate of the simulated server; its daemon can be started again."""

    def __init__(self, server: SimulatedServer) -> None:
        self.server = server
        self.configuration = make_configuration()
        self.known_limit: bytes | None = None
        self.local: LocalUpstream | None = None
        self.outcomes: list[str] = []

    async def start_under_load(self) -> None:
        """Start the daemon and send requests until it is warm."""
        await self.start()
        await self.send_for(2)

    async def start(self) -> None:
        """Start the daemon, without anything that an earlier one knew."""
        if self.local is not None:
            await self.local.stop()
        clock = LoopClock()
        warm_up = WarmUp(clock)
        self.gate = Gate(clock, warm_up, RateLimit(clock))
        upstream = Upstream(ADDRESS, NAMES, clock)
        self.local = LocalUpstream(
            ADDRESS,
            'oslo-a',
            UpstreamParts(upstream, self.gate, warm_up, clock),
            lambda event: None,
        )
        upstream.observe_failure = self.local.note_connection_failure
        upstream.observe_answer = self.local.note_answer
        upstream.observe_notice = self.local.apply_notice
        self.service = GateService(
            self.gate,
            upstream,
            self.local,
            AnswerLink(Uplink(clock), 'vm'),
            clock,
            lambda event: None,
            NAMES,
        )
        self.register('e1')
        await self.local.start()

    def register(self, identity: str, **changes) -> None:
        endpoint = make_endpoint(
            identity, address=ADDRESS, slots=SLOTS, **changes
        )
        self.local.apply_snapshot(
            make_snapshot(endpoint, configuration=self.configuration)
        )

    async def send(self, instance: str = 'e1') -> None:
        """Send a request as a daemon does that has passed on a limit."""
        headers = ()
        if self.known_limit is not None:
            headers = ((NAMES.known_rate_limit, self.known_limit),)
        request = CallRequest(
            1,
            '10.0.0.1',
            'status',
            '',
            '',
            'GET',
            '/',
            headers,
            1000,
            instance=instance,
            target_ms=500,
        )
        outcome = await self.service(request, WholeBody())
        reason = 'answered' if outcome.is_ok() else outcome.err_value.reason
        self.outcomes.append(reason)

    async def send_for(self, seconds: float) -> None:
        """Send requests at a constant rate, and wait for their outcomes."""
        tasks = []
        for _ in range(int(seconds * REQUESTS_PER_SECOND)):
            tasks.append(asyncio.ensure_future(self.send()))
            await asyncio.sleep(1 / REQUESTS_PER_SECOND)
        await asyncio.gather(*tasks)


@pytest.fixture
def vm(monkeypatch):
    server = SimulatedServer(0, SERVICE_SECONDS)
    monkeypatch.setattr(upstream_module, 'open_connection', server.open)
    return Vm(server)


def name_limit(vm: Vm, rate: float) -> None:
    vm.server.notices = ((NAMES.rate_limit, b'%r' % rate),)


@pytest.mark.looptime
@pytest.mark.parametrize('rate', [0.1, 0.7, 2, 11.2, 30])
async def test_limit_of_an_upstream_is_kept(vm, rate):
    """Guards against more requests than an upstream says it takes (LIMIT)."""
    await vm.start_under_load()
    name_limit(vm, rate)
    named_at = now()
    await vm.send_for(12)
    begin = named_at + SETTLING_SECONDS
    assert most_in_one_window(vm.server.starts, begin) <= max_requests(rate)


@pytest.mark.looptime
@pytest.mark.parametrize('rate', [2, 11.2, 30])
async def test_upstream_gets_what_its_limit_allows(vm, rate):
    """Guards against refusals while the limit is not used up."""
    await vm.start_under_load()
    await vm.send_for(0.5)
    name_limit(vm, rate)
    await vm.send_for(1)
    started = len(vm.server.starts)
    await vm.send_for(10)
    assert len(vm.server.starts) - started >= 10 * rate - 2


@pytest.mark.looptime
@pytest.mark.parametrize('rate', [0.1, 0.5, 2, 11.2])
@pytest.mark.parametrize('seed', range(4))
async def test_restarted_gate_keeps_the_limit(vm, rate, seed):
    """Guards against a restart that forgets the limit (LIMIT).

    Its health checks get no answer and its service has no rate for a warm-up,
    so only senders can tell it in time.
    """
    desk = vm.configuration.services['desk']._replace(warm_up_rate=0)
    vm.configuration = vm.configuration._replace(services={'desk': desk})
    await vm.start_under_load()
    random = Random(seed)
    name_limit(vm, rate)
    await vm.send_for(SETTLING_SECONDS)
    begin = now()
    vm.known_limit = b'%r' % rate

    async def ignore(path):
        return None

    for _ in range(4):
        await vm.start()
        vm.local._parts.upstream.check_health = ignore
        await vm.send_for(random.random() * 2)
    assert most_in_one_window(vm.server.starts, begin) <= max_requests(rate)


@pytest.mark.looptime
async def test_limit_that_ends_is_forgotten(vm):
    """Guards against refusals after an upstream has recovered."""
    await vm.start_under_load()
    name_limit(vm, 2)
    await vm.send_for(4)
    vm.server.notices = ()
    await vm.send_for(1)
    vm.outcomes.clear()
    vm.known_limit = b'2'
    await vm.send_for(2)
    assert set(vm.outcomes) == {'answered'}


@pytest.mark.looptime
async def test_request_beyond_a_limit_is_refused_at_once(vm):
    """Guards against requests that wait in vain, or without a true reason."""
    await vm.start_under_load()
    name_limit(vm, 0.5)
    await vm.send_for(3)
    vm.outcomes.clear()
    started_at = now()
    await vm.send()
    assert vm.outcomes == [RATE_LIMITED]
    assert now() == started_at


@pytest.mark.looptime
async def test_new_instance_at_an_address_has_no_limit(vm):
    """Guards against the limit of an upstream that is gone."""
    await vm.start_under_load()
    name_limit(vm, 0.5)
    await vm.send_for(2)
    vm.server.notices = ()
    vm.server.instance = 'e2'
    vm.register('e2', started_ms=2)
    assert not vm.gate.rate_limit.describe()


@pytest.mark.looptime
async def test_new_incarnation_of_an_instance_has_no_limit(vm):
    """Guards against a limit that a restarted upstream never named."""
    await vm.start_under_load()
    name_limit(vm, 0.5)
    await vm.send_for(2)
    vm.register('e1', started_ms=2)
    assert not vm.gate.rate_limit.describe()


@pytest.mark.looptime
async def test_waiting_request_is_refused_before_its_deadline(vm):
    """Guards against requests that wait for a rate until their caller leaves.

    More urgent ones take the starts that a waiting one was admitted for.
    """
    await vm.start_under_load()
    name_limit(vm, 1)
    await vm.send_for(3)
    waiting = asyncio.ensure_future(
        vm.gate.admit(Ticket('status', 9, now() + 2.5, now() + 2.4))
    )
    urgent = []
    for _ in range(3):
        await asyncio.sleep(0.01)
        ticket = Ticket('status', 0, now() + 9, now() + 9)
        urgent.append(asyncio.ensure_future(vm.gate.admit(ticket)))
    refusal = (await waiting).err_value
    assert refusal.executed == 'no'
    for task in urgent:
        task.cancel()


fields = st.one_of(
    st.floats(0, 1000).map(RateLimitNamed),
    st.just(RateLimitAbsent()),
    st.text(max_size=4).map(RateLimitUnreadable),
)


def apply(limit: RateLimit, field: RateLimitField) -> None:
    limit.apply(UpstreamNotice('e1', field, is_leaving=False))


@settings(deadline=None)
@given(
    st.lists(st.tuples(fields, st.floats(0, 3)), min_size=1, max_size=30),
    st.floats(0, 1000),
)
def test_any_sequence_of_limits_stays_below_the_highest(steps, first):
    """Guards against a limit whose changes let too many requests start."""
    clock = FakeClock(0)
    limit = RateLimit(clock)
    apply(limit, RateLimitNamed(first))
    starts: list[float] = []
    highest = first
    for field, pause in steps:
        if isinstance(field, RateLimitAbsent):
            continue
        apply(limit, field)
        if isinstance(field, RateLimitNamed):
            highest = max(highest, field.rate)
        clock.now += pause
        while limit.wait_seconds(1) <= 0:
            limit.take_token()
            starts.append(clock.now)
    allowed = max_requests(max(highest, MIN_RATE))
    assert most_in_one_window(starts, 0) <= allowed


@given(fields, fields)
def test_sender_tells_nothing_once_the_instance_has_responded(known, named):
    """Guards against a limit that has ended and comes back from a sender."""
    limit = RateLimit(FakeClock())
    apply(limit, named)
    before = limit.describe()
    limit.adopt('e1', known)
    assert limit.describe() == before


@given(st.floats(MIN_RATE, 1000))
def test_crowding_tells_senders_before_requests_wait(rate):
    """Guards against load that goes elsewhere only after refusals."""
    clock = FakeClock(0)
    limit = RateLimit(clock)
    apply(limit, RateLimitNamed(rate))
    delays = []
    for share in (0.2, 0.6, 0.95, 3):
        for _ in range(int(40 * share)):
            limit.record_arrival()
            clock.now += 1 / (rate * share)
        delays.append(limit.crowding_seconds())
    assert delays == sorted(delays)
    assert delays[-1] < 5 / rate
