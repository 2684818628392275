"""Tests of queueing and refusals at a gate under overload."""

import asyncio
from random import Random

import pytest

from wagtailline_sidecar.clock import BootClock
from wagtailline_sidecar.gate import Gate, Ticket
from wagtailline_sidecar.warm_up import WarmUp

SLOTS = 6
SERVICE_SECONDS = 0.2
TARGET_SECONDS = 0.5
DEADLINE_SECONDS = 1.0
CAPACITY = SLOTS / SERVICE_SECONDS


class Load:
    """Open-loop load on a gate, with counts of the outcomes."""

    def __init__(self, target_seconds: float, seed: int) -> None:
        clock = BootClock()
        warm_up = WarmUp(clock)
        warm_up.confirm(0)
        self.gate = Gate(clock, warm_up)
        self.gate.slots = SLOTS
        self.target_seconds = target_seconds
        self.random = Random(seed)
        self.in_target = 0
        self.late = 0
        self.refused = 0
        self.refusal_delays: list[float] = []

    async def request(self, priority: int, *, is_nested: bool) -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        ticket = Ticket(
            'status',
            priority,
            started + DEADLINE_SECONDS,
            started + self.target_seconds,
            is_nested,
        )
        admitted = await self.gate.admit(ticket)
        if admitted.is_err():
            self.refused += 1
            self.refusal_delays.append(loop.time() - started)
            return
        await asyncio.sleep(self.random.expovariate(1 / SERVICE_SECONDS))
        admitted.ok_value.release(is_typical=True)
        elapsed_seconds = loop.time() - started
        if elapsed_seconds <= TARGET_SECONDS:
            self.in_target += 1
        elif elapsed_seconds <= DEADLINE_SECONDS:
            self.late += 1

    async def run(
        self,
        rate: float,
        seconds: float,
        priority: int = 1,
        *,
        is_nested: bool = False,
    ) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        tasks = []
        while loop.time() < end:
            tasks.append(
                asyncio.ensure_future(
                    self.request(priority, is_nested=is_nested)
                )
            )
            await asyncio.sleep(self.random.expovariate(rate))
        await asyncio.gather(*tasks)


@pytest.mark.looptime
@pytest.mark.parametrize('seed', range(3))
async def test_sustained_overload_is_served_within_the_target(seed):
    """Load: 1.5 times the capacity for 20 s.

    Guards against a queue bounded only by the deadline, in which every
    request is served after its latency target.
    """
    by_target = Load(TARGET_SECONDS, seed)
    await by_target.run(1.5 * CAPACITY, 20)
    by_deadline = Load(DEADLINE_SECONDS, seed)
    await by_deadline.run(1.5 * CAPACITY, 20)
    assert by_target.in_target > 1.5 * by_deadline.in_target
    assert by_target.in_target > 0.7 * CAPACITY * 20


@pytest.mark.looptime
async def test_excess_requests_are_refused_immediately():
    """Load: 3 times the capacity for 10 s.

    Guards against requests that are queued although they can't be served.
    """
    load = Load(TARGET_SECONDS, 1)
    await load.run(3 * CAPACITY, 10)
    assert load.refused > 0
    immediate = sum(
        delay_seconds < 0.01 for delay_seconds in load.refusal_delays
    )
    assert immediate > 0.9 * load.refused


@pytest.mark.looptime
async def test_normal_load_is_not_refused():
    """Load: 0.6 times the capacity for 20 s.

    Guards against a queue limit that refuses requests under normal load.
    """
    load = Load(TARGET_SECONDS, 1)
    await load.run(0.6 * CAPACITY, 20)
    assert load.refused < 0.02 * (load.in_target + load.late)


@pytest.mark.looptime
async def test_urgent_requests_are_served_under_overload():
    """Load: ordinary requests at twice the capacity, and some urgent ones.

    Guards against urgent requests refused because of less urgent ones.
    """
    load = Load(TARGET_SECONDS, 1)
    ordinary = asyncio.ensure_future(load.run(2 * CAPACITY, 10, priority=2))
    await asyncio.sleep(1)
    urgent = Load(TARGET_SECONDS, 2)
    urgent.gate = load.gate
    await urgent.run(0.3 * CAPACITY, 8, priority=0)
    await ordinary
    answered = urgent.in_target + urgent.late
    assert urgent.refused < 0.05 * answered
    assert load.refused > urgent.refused


async def run_nested(seed: int, *, is_nested: bool) -> Load:
    """Send calls of other upstreams during an overload of new requests."""
    new_requests = Load(TARGET_SECONDS, seed)
    overload = asyncio.ensure_future(new_requests.run(1.2 * CAPACITY, 12))
    nested_calls = Load(TARGET_SECONDS, seed + 100)
    nested_calls.gate = new_requests.gate
    await asyncio.sleep(1)
    await nested_calls.run(0.4 * CAPACITY, 10, is_nested=is_nested)
    await overload
    return nested_calls


@pytest.mark.looptime
@pytest.mark.parametrize('seed', range(3))
async def test_nested_requests_are_served_first(seed):
    """Load: nested calls during an overload of 1.2 times the capacity.

    Guards against refused calls whose calling request holds a slot at
    another gate. This happens if they are queued only by the priority of
    their route.
    """
    nested_calls = await run_nested(seed, is_nested=True)
    as_new_requests = await run_nested(seed, is_nested=False)
    assert nested_calls.refused < 0.05 * (
        nested_calls.in_target + nested_calls.late
    )
    assert as_new_requests.refused > 2 * nested_calls.refused


@pytest.mark.looptime
async def test_upstream_slower_than_the_target_still_serves():
    """Load: an upstream whose service time exceeds every target.

    Guards against a latency target that makes the gate refuse everything.
    """
    load = Load(TARGET_SECONDS, 1)
    load.gate.release_slot('status', -30, is_typical=True)
    load.gate.in_progress = 0
    admitted = await load.gate.admit(Ticket('status', 1, 40, TARGET_SECONDS))
    assert admitted.is_ok()
