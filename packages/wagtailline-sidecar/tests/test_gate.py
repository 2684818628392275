"""Tests of admission control in front of the local upstream."""

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
    new_gate = Gate(clock, warm_up)
    new_gate.slots = 2
    return new_gate


def warm(gate: Gate) -> None:
    gate._warm_up.confirm(0)


def ticket(priority: int = 1, seconds: float = 5) -> Ticket:
    now = asyncio.get_running_loop().time()
    return Ticket('status', priority, now + seconds, now + seconds)


async def run_pending_callbacks() -> None:
    for _ in range(5):
        await asyncio.sleep(0)


@pytest.mark.looptime
async def test_no_more_requests_than_slots(gate):
    """Guards against more concurrent requests than there are slots."""
    warm(gate)
    tasks = [asyncio.ensure_future(gate.admit(ticket())) for _ in range(5)]
    await run_pending_callbacks()
    assert gate.in_progress == 2
    assert gate.queued == 3
    for task in tasks:
        task.cancel()


@pytest.mark.looptime
async def test_urgent_requests_are_served_first(gate):
    """Guards against a queue that ignores priorities."""
    warm(gate)
    slots = [(await gate.admit(ticket())).ok_value for _ in range(2)]
    order = []

    async def run(priority):
        slot = (await gate.admit(ticket(priority))).ok_value
        order.append(priority)
        slot.release()

    tasks = [asyncio.ensure_future(run(priority)) for priority in (3, 2, 1)]
    await run_pending_callbacks()
    slots[0].release()
    await asyncio.gather(*tasks)
    assert order == [1, 2, 3]


@pytest.mark.looptime
async def test_request_that_would_start_too_late_is_refused_at_once(gate):
    """Guards against requests that wait for a slot to no purpose.

    The queue is so long that the request would start after its deadline.
    """
    warm(gate)
    started = asyncio.get_running_loop().time()
    for _ in range(2):
        (await gate.admit(ticket())).unwrap()
    waiting = [asyncio.ensure_future(gate.admit(ticket())) for _ in range(20)]
    await run_pending_callbacks()
    refused = await gate.admit(ticket(seconds=0.2))
    assert refused.err_value.reason == 'wait_too_long'
    assert refused.err_value.executed == 'no'
    assert refused.err_value.retry_after_ms > 0
    assert asyncio.get_running_loop().time() == started
    for task in waiting:
        task.cancel()


@pytest.mark.looptime
async def test_waiting_request_is_refused_before_its_deadline(gate):
    """Guards against a slot for a request that would end too late."""
    warm(gate)
    for _ in range(2):
        (await gate.admit(ticket())).unwrap()
    refused = await gate.admit(ticket(seconds=1))
    assert refused.err_value.reason == 'deadline'
    assert refused.err_value.executed == 'no'
    assert asyncio.get_running_loop().time() < 1


@pytest.mark.looptime
async def test_cancelled_caller_frees_its_slot(gate):
    """Guards against a leaked slot.

    A caller is cancelled in the same turn of the event loop in which it is
    granted the slot.
    """
    warm(gate)
    slots = [(await gate.admit(ticket())).ok_value for _ in range(2)]
    waiting = asyncio.ensure_future(gate.admit(ticket()))
    await run_pending_callbacks()
    slots[0].release()
    waiting.cancel()
    await run_pending_callbacks()
    assert gate.in_progress == 1


@pytest.mark.looptime
async def test_closing_refuses_waiting_requests(gate):
    """Guards against a graceful stop that leaves requests unanswered."""
    warm(gate)
    for _ in range(2):
        (await gate.admit(ticket())).unwrap()
    waiting = asyncio.ensure_future(gate.admit(ticket()))
    await run_pending_callbacks()
    gate.close('gate_stopping')
    assert (await waiting).err_value.executed == 'no'
    assert (await gate.admit(ticket())).err_value.reason == 'gate_stopping'


@pytest.mark.looptime
async def test_cold_upstream_gets_requests_at_its_rate(gate):
    """Guards against free slots that bypass the limit of the warm-up."""
    gate._warm_up.confirm(3)
    gate.slots = 100
    starts = []

    async def run():
        admitted = await gate.admit(ticket(seconds=2))
        if admitted.is_ok():
            starts.append(asyncio.get_running_loop().time())

    await asyncio.gather(*(run() for _ in range(60)))
    for first in starts:
        starts_in_second = [
            start for start in starts if first <= start < first + 1
        ]
        assert len(starts_in_second) <= 6 * 1.5 + 5
