"""Guards queue, deadline, drain and truthful refusals of the gate."""

import asyncio
from random import Random

import pytest
from result import Err, Ok

from wagtailline.admission import (
    Answered,
    Cancelled,
    ConnectionRefused,
    DeadlinePassed,
    Draining,
    Gate,
    GateIdentity,
    QueueFull,
    ResetLater,
    Ticket,
    UpstreamDown,
    WaitTooLong,
    apply_snapshot,
)
from wagtailline.objects import DataCentre, Endpoint, object_id
from wagtailline.ports import LoopClock
from wagtailline.snapshot import Snapshot
from wagtailline_lab.virtual import run_virtual

_OK = Answered(0.01, 200)


def make_gate(slots=4, **changes):
    return Gate(
        GateIdentity('e0', 1), slots, LoopClock(0), Random(1), **changes
    )


def ticket(account='a', deadline=10.0, weight=1, name=b'', **more):
    return Ticket(account, weight, deadline, name, **more)


async def raise_limit(gate, limit):
    """Answer requests at full use until the limit is reached."""
    for _ in range(1000):
        if gate.limit >= limit:
            return
        await asyncio.gather(
            *(take(gate, deadline=1e9) for _ in range(gate.limit))
        )
    raise AssertionError(gate.limit)


async def take(gate, hold=0.01, **fields):
    """Hold a slot for a time; return the admission and its time."""
    admitted = await gate.admit(ticket(**fields))
    started = asyncio.get_running_loop().time()
    match admitted:
        case Ok(slot):
            await asyncio.sleep(hold)
            slot.release(_OK._replace(latency=hold))
    return admitted, started


async def start_waiting(gate, count, **fields):
    tasks = [asyncio.create_task(take(gate, **fields)) for _ in range(count)]
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    return tasks


def test_queue_is_bounded_and_the_longest_line_gives_way():
    """An unbounded queue holds requests that nobody waits for any more."""

    async def scenario():
        gate = make_gate(slots=2)
        held = (await gate.admit(ticket())).ok_value
        flood = await start_waiting(gate, 20, account='flood')
        assert gate.queued == 8
        refused = [task.result()[0] for task in flood if task.done()]
        assert len(refused) == 12
        assert all(isinstance(one.err_value, QueueFull) for one in refused)
        small = await start_waiting(gate, 1, account='small')
        await asyncio.sleep(0)
        assert gate.queued == 8
        assert sum(task.done() for task in flood) == 13
        held.release(_OK)
        admitted, _ = await small[0]
        assert admitted.is_ok()

    run_virtual(scenario())


def test_nothing_starts_past_its_deadline_or_without_its_caller():
    async def scenario():
        gate = make_gate()
        held = (await gate.admit(ticket())).ok_value
        late, left = await asyncio.gather(
            start_waiting(gate, 1, deadline=0.5), start_waiting(gate, 1)
        )
        await asyncio.sleep(0.2)
        left[0].cancel()
        await asyncio.sleep(0.4)
        assert late[0].done()
        refusal, at = late[0].result()
        assert isinstance(refusal.err_value, DeadlinePassed)
        assert at == pytest.approx(0.5)
        assert gate.queued == 0
        past = await gate.admit(ticket(deadline=0.5))
        assert past == Err(DeadlinePassed())
        held.release(_OK)
        assert gate.in_progress == 0

    run_virtual(scenario())


def test_slot_granted_while_its_caller_leaves_is_not_lost():
    """A leaked slot lowers the capacity until the daemon restarts."""

    async def scenario():
        gate = make_gate()
        held = (await gate.admit(ticket())).ok_value
        [leaving] = await start_waiting(gate, 1)
        held.release(_OK)
        assert gate.in_progress == 1
        leaving.cancel()
        await asyncio.gather(leaving, return_exceptions=True)
        assert gate.in_progress == 0
        again = (await gate.admit(ticket())).ok_value
        again.release(_OK)
        again.release(_OK)
        assert gate.in_progress == 0

    run_virtual(scenario())


def test_hopeless_wait_is_refused_at_once_with_a_true_estimate():
    async def scenario():
        gate = make_gate(slots=1)
        for _ in range(50):
            await take(gate, hold=0.1)
        now = asyncio.get_running_loop().time()
        waiting = await start_waiting(gate, 3, hold=0.1, deadline=now + 9)
        refused = await gate.admit(ticket(deadline=now + 0.25))
        patient = await gate.admit(ticket(deadline=now + 9, max_wait=0.2))
        for refusal in (refused.err_value, patient.err_value):
            assert isinstance(refusal, WaitTooLong)
            assert refusal.estimated_wait == pytest.approx(0.3, rel=0.1)
        _, started = await asyncio.create_task(
            take(gate, deadline=now + 9, max_wait=0.4)
        )
        assert started - now == pytest.approx(0.3, rel=0.1)
        await asyncio.gather(*waiting)

    run_virtual(scenario())


def test_drained_gate_refuses_new_work_and_cuts_none():
    async def scenario():
        gate = make_gate()
        held = (await gate.admit(ticket())).ok_value
        waiting = await start_waiting(gate, 2)
        gate.drain('stopping')
        gate.drain('out of service')
        await asyncio.sleep(0)
        for task in waiting:
            assert isinstance(task.result()[0].err_value, Draining)
        gate.resume('out of service')
        refused = await gate.admit(ticket())
        assert refused == Err(Draining('stopping'))
        assert gate.load == 1
        empty = asyncio.create_task(gate.wait_empty())
        await asyncio.sleep(1)
        assert not empty.done()
        assert not held.released
        held.release(_OK)
        await empty
        gate.resume('stopping')
        assert (await gate.admit(ticket())).is_ok()

    run_virtual(scenario())


def test_snapshots_drain_reopen_and_resize():
    async def scenario():
        gate = make_gate()

        def publish(*published):
            named = {object_id(one): one for one in published}
            apply_snapshot(Snapshot(1, b'', named), 'e0', gate)

        endpoint = Endpoint('e0', 's', 'dc', 2, 9)
        publish(DataCentre('dc', 'r', in_service=False), endpoint)
        assert (await gate.admit(ticket())).is_err()
        publish(DataCentre('dc', 'r'))
        assert (await gate.admit(ticket())).is_err()
        publish(DataCentre('dc', 'r'), endpoint)
        await raise_limit(gate, 2)
        for _ in range(100):
            await take(gate, deadline=1e9)
        assert gate.limit == 2
        publish(DataCentre('dc', 'r'), endpoint._replace(slots=1))
        assert gate.limit == 1

    run_virtual(scenario())


def test_limit_falls_after_idle_time_and_signs_of_a_restart():
    """A warm limit on a cold upstream makes it collapse."""

    async def scenario():
        gate = make_gate(slots=8)
        await raise_limit(gate, 8)
        await asyncio.sleep(31)
        (await gate.admit(ticket(deadline=1e9))).ok_value.release(_OK)
        assert gate.limit == 1
        await raise_limit(gate, 8)
        (await gate.admit(ticket(deadline=1e9))).ok_value.release(ResetLater())
        assert gate.limit == 1
        await raise_limit(gate, 8)
        held = (await gate.admit(ticket(deadline=1e9))).ok_value
        held.release(ConnectionRefused())
        assert gate.limit == 1
        refused = await gate.admit(ticket(deadline=1e9))
        assert isinstance(refused.err_value, UpstreamDown)
        await asyncio.sleep(refused.err_value.retry_after)
        assert (await gate.admit(ticket(deadline=1e9))).is_ok()

    run_virtual(scenario())


def test_reports_hold_the_limit_and_never_raise_it():
    async def scenario():
        gate = make_gate()
        gate.report_load(0)
        gate.report_health(healthy=True)
        assert gate.limit == 1
        for _ in range(40):
            gate.report_health(healthy=False)
            await take(gate, deadline=1e9)
        assert gate.limit == 1
        await raise_limit(gate, 4)

    run_virtual(scenario())


def test_a_lone_outlier_does_not_lower_the_limit():
    """A single slow request is no overload; most of them are."""

    async def scenario():
        gate = make_gate(slots=8)
        await raise_limit(gate, 8)
        outlier = await start_waiting(gate, 1, hold=5, deadline=1e9)
        others = await start_waiting(gate, 5, hold=0.01, deadline=1e9)
        await asyncio.gather(*others)
        for _ in range(30):
            await take(gate, deadline=1e9)
        assert gate.limit == 8
        stalled = await start_waiting(gate, 5, hold=5, deadline=1e9)
        await asyncio.sleep(1)
        await start_waiting(gate, 1, deadline=1e9)
        assert gate.limit == 4
        await asyncio.gather(*outlier, *stalled)

    run_virtual(scenario())


def test_account_at_eight_times_its_share_slows_no_other():
    """First in, first out makes everyone wait behind the flood."""

    async def scenario(greedy_factor):
        gate = make_gate(slots=4)
        await raise_limit(gate, 4)
        random = Random(3)
        loop = asyncio.get_running_loop()
        waits = []
        refused = 0

        async def request(account):
            nonlocal refused
            begun = loop.time()
            admitted, started = await take(
                gate, account=account, deadline=begun + 1
            )
            if account != 'greedy':
                waits.append(started - begun)
                refused += admitted.is_err()

        async def load(account, rate):
            async with asyncio.TaskGroup() as group:
                for _ in range(round(rate * 5)):
                    group.create_task(request(account))
                    await asyncio.sleep(random.expovariate(rate))

        # 400 requests a second are the capacity; the share of each is 80.
        await asyncio.gather(
            load('greedy', 60 * greedy_factor),
            *(load(name, 60) for name in 'abcd'),
        )
        assert refused == 0
        return sorted(waits)[len(waits) * 99 // 100]

    # A round of five accounts over four slots of 10 ms takes 12.5 ms; an
    # account below its share waits at most two rounds and a service time.
    assert run_virtual(scenario(8)) <= 0.035


def test_weights_divide_a_full_queue():
    async def scenario():
        gate = make_gate(slots=8)
        order = []

        async def request(account, weight):
            admitted, _ = await take(gate, account=account, weight=weight)
            if admitted.is_ok():
                order.append(account)

        held = (await gate.admit(ticket())).ok_value
        tasks = [
            asyncio.create_task(request(name, weight))
            for _ in range(16)
            for name, weight in (('small', 1), ('large', 3))
        ]
        await asyncio.sleep(0)
        held.release(_OK)
        await asyncio.gather(*tasks)
        assert order[:16].count('large') == pytest.approx(12, abs=1)

    run_virtual(scenario())


def test_cancelled_work_says_nothing_about_the_upstream():
    async def scenario():
        gate = make_gate()
        await raise_limit(gate, 4)
        for _ in range(20):
            slot = (await gate.admit(ticket(deadline=1e9))).ok_value
            slot.release(Cancelled())
        assert gate.limit == 4
        assert 0 <= gate.load < 0.5

    run_virtual(scenario())
