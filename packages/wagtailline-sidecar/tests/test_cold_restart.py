"""Simulation of an upstream that restarts cold, on virtual time."""

import asyncio
from random import Random

import pytest
from _fixtures import make_configuration, make_endpoint, make_snapshot
from _simulated_server import SimulatedServer, now

from wagtailline.calls import CallRequest, WholeBody
from wagtailline.ports import Address, LoopClock
from wagtailline_sidecar import upstream as upstream_module
from wagtailline_sidecar.gate import Gate, Ticket
from wagtailline_sidecar.header_names import HeaderNames
from wagtailline_sidecar.local_upstream import LocalUpstream, UpstreamParts
from wagtailline_sidecar.upstream import Upstream
from wagtailline_sidecar.warm_up import WarmUp, WarmUpTolerance

ADDRESS = Address('10.0.0.1', 8000)
# As in the configuration of the fixtures.
WARM_UP_RATE = 6.0
WARM_UP_SECONDS = 3.0
TOLERANCE = WarmUpTolerance(overage=1.5, slack=5)
SLOTS = 6
REQUESTS_PER_SECOND = 60
REQUEST = CallRequest(1, '10.0.0.1', 'status', '', '', 'GET', '/', (), 1000)


async def send_requests(gate: Gate, upstream: Upstream, rate, seconds) -> None:
    """Send requests at a rate through the gate."""

    async def send() -> None:
        admitted = await gate.admit(Ticket('status', 1, now() + 2, now() + 1))
        if admitted.is_ok():
            await upstream.run(REQUEST, WholeBody(), 1)
            admitted.ok_value.release(is_typical=True)

    tasks = []
    for _ in range(int(rate * seconds)):
        tasks.append(asyncio.ensure_future(send()))
        await asyncio.sleep(1 / rate)
    await asyncio.gather(*tasks)


@pytest.mark.looptime
@pytest.mark.parametrize('seed', range(12))
@pytest.mark.parametrize('is_busy', [False, True])
async def test_upstream_that_restarts_cold_is_never_flooded(
    seed, is_busy, monkeypatch
):
    """Guards against a burst at a cold upstream (FAILBACK).

    It restarts under its old identity, between requests or beside them, and
    its new registration isn't known yet.
    """
    random = Random(seed)
    server = SimulatedServer(WARM_UP_SECONDS)
    monkeypatch.setattr(upstream_module, 'open_connection', server.open)
    clock = LoopClock()
    warm_up = WarmUp(clock, lambda: TOLERANCE)
    gate = Gate(clock, warm_up)
    upstream = Upstream(ADDRESS, HeaderNames(), clock)
    local = LocalUpstream(
        ADDRESS,
        'oslo-a',
        UpstreamParts(upstream, gate, warm_up, clock),
        lambda event: None,
    )
    upstream.observe_failure = local.note_connection_failure
    upstream.observe_answer = local.note_answer
    endpoint = make_endpoint(address=ADDRESS, slots=SLOTS)
    local.apply_snapshot(make_snapshot(endpoint))
    await local.start()
    await send_requests(gate, upstream, REQUESTS_PER_SECOND, 1)
    if is_busy:
        load = asyncio.ensure_future(
            send_requests(gate, upstream, REQUESTS_PER_SECOND, 1)
        )
        await asyncio.sleep(random.random())
        server.restart()
        await load
    else:
        await asyncio.sleep(random.random() * 8)
        server.restart()
        await asyncio.sleep(random.random() * 0.5)
    await send_requests(gate, upstream, REQUESTS_PER_SECOND, 2)
    allowed = TOLERANCE.max_requests(WARM_UP_RATE)
    assert 1 <= server.most_starts_in_one_second() <= allowed
    await local.stop()


def test_rate_of_the_simulation_is_that_of_the_configuration():
    """Guards against a simulation whose upstream is never cold."""
    service = make_configuration().services['desk']
    assert service.warm_up_rate == WARM_UP_RATE
    assert service.warm_up_seconds == WARM_UP_SECONDS
