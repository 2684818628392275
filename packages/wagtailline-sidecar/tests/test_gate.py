"""Admission to the local upstream."""

import asyncio

import pytest

from wagtailline_sidecar.clock import BootClock
from wagtailline_sidecar.gate import Gate, Ticket
from wagtailline_sidecar.warm_up import WarmUp


@pytest.fixture
def gate() -> Gate:
    clock = BootClock()
    warm_up = WarmUp(clock)
    warm_up.limit_rate(6)
    made = Gate(clock, warm_up)
    made.slots = 2
    return made


def warm(gate: Gate) -> None:
    gate._warm_up.confirm(0)


def ticket(priority: int = 1, seconds: float = 5) -> Ticket:
    now = asyncio.get_running_loop().time()
    return Ticket('status', priority, now + seconds, now + seconds)


async def settle() -> None:
    for _ in range(5):
        await asyncio.sleep(0)


@pytest.mark.looptime
async def test_no_more_requests_than_slots(gate):
    """Guards against an upstream that is asked beyond its slots."""
    warm(gate)
    tasks = [asyncio.ensure_future(gate.admit(ticket())) for _ in range(5)]
    await settle()
    assert gate.in_progress == 2
    assert gate.queued == 3
    for task in tasks:
        task.cancel()


@pytest.mark.looptime
async def test_urgent_requests_go_first(gate):
    """Guards against less urgent requests that are served before others."""
    warm(gate)
    held = [(await gate.admit(ticket())).ok_value for _ in range(2)]
    order = []

    async def run(priority):
        slot = (await gate.admit(ticket(priority))).ok_value
        order.append(priority)
        slot.release()

    tasks = [asyncio.ensure_future(run(one)) for one in (3, 2, 1)]
    await settle()
    held[0].release()
    await asyncio.gather(*tasks)
    assert order == [1, 2, 3]


@pytest.mark.looptime
async def test_hopeless_request_is_refused_at_once(gate):
    """Guards against a request that is held until its deadline in vain."""
    warm(gate)
    started = asyncio.get_running_loop().time()
    for _ in range(2):
        (await gate.admit(ticket())).unwrap()
    waiting = [asyncio.ensure_future(gate.admit(ticket())) for _ in range(20)]
    await settle()
    refused = await gate.admit(ticket(seconds=0.2))
    assert refused.err_value.reason == 'wait_too_long'
    assert refused.err_value.executed == 'no'
    assert refused.err_value.retry_after_ms > 0
    assert asyncio.get_running_loop().time() == started
    for task in waiting:
        task.cancel()


@pytest.mark.looptime
async def test_waiting_request_is_refused_before_its_deadline(gate):
    """Guards against a slot for an answer that would come too late."""
    warm(gate)
    for _ in range(2):
        (await gate.admit(ticket())).unwrap()
    refused = await gate.admit(ticket(seconds=1))
    assert refused.err_value.reason == 'deadline'
    assert refused.err_value.executed == 'no'
    assert asyncio.get_running_loop().time() < 1


@pytest.mark.looptime
async def test_caller_that_leaves_frees_its_slot(gate):
    """Guards against slots that are lost when a caller leaves."""
    warm(gate)
    held = [(await gate.admit(ticket())).ok_value for _ in range(2)]
    waiting = asyncio.ensure_future(gate.admit(ticket()))
    await settle()
    held[0].release()
    waiting.cancel()
    await settle()
    assert gate.in_progress == 1


@pytest.mark.looptime
async def test_closing_refuses_those_that_wait(gate):
    """Guards against a planned stop that leaves requests without answer."""
    warm(gate)
    for _ in range(2):
        (await gate.admit(ticket())).unwrap()
    waiting = asyncio.ensure_future(gate.admit(ticket()))
    await settle()
    gate.close('gate_stopping')
    assert (await waiting).err_value.executed == 'no'
    assert (await gate.admit(ticket())).err_value.reason == 'gate_stopping'


@pytest.mark.looptime
async def test_cold_upstream_starts_one_after_the_other(gate):
    """Guards against free slots that override the warm-up."""
    gate._warm_up.confirm(3)
    gate.slots = 100
    starts = []

    async def run():
        admitted = await gate.admit(ticket(seconds=2))
        if admitted.is_ok():
            starts.append(asyncio.get_running_loop().time())

    await asyncio.gather(*(run() for _ in range(60)))
    for first in starts:
        inside = [one for one in starts if first <= one < first + 1]
        assert len(inside) <= 6 * 1.5 + 5
