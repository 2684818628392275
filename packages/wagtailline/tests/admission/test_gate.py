"""Tests the queue, deadlines, draining and refusals of the gate."""

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
    ResetDuringAnswer,
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


def make_ticket(
    account='a', deadline=10.0, weight=1, fingerprint=b'', **fields
):
    return Ticket(account, weight, deadline, fingerprint, **fields)


async def raise_limit(gate, limit):
    """Answer as many requests as the limit admits until it is reached."""
    for _ in range(1000):
        if gate.limit >= limit:
            return
        await asyncio.gather(
            *(hold_slot(gate, deadline=1e9) for _ in range(gate.limit))
        )
    raise AssertionError(gate.limit)


async def hold_slot(gate, seconds=0.01, **fields):
    """Hold a slot for a time; return the admission and when it started."""
    admitted = await gate.admit(make_ticket(**fields))
    started = asyncio.get_running_loop().time()
    match admitted:
        case Ok(slot):
            await asyncio.sleep(seconds)
            slot.release(_OK._replace(latency=seconds))
    return admitted, started


async def start_waiting(gate, count, **fields):
    tasks = [
        asyncio.create_task(hold_slot(gate, **fields)) for _ in range(count)
    ]
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    return tasks


def test_full_queue_evicts_from_the_account_with_the_most_requests():
    """An unbounded queue holds requests that no caller waits for any more.

    A flood of one account must not keep other accounts out of the queue.
    """

    async def scenario():
        gate = make_gate(slots=2)
        slot = (await gate.admit(make_ticket())).ok_value
        flood = await start_waiting(gate, 20, account='flood')
        assert gate.queued == 8
        refused = [task.result()[0] for task in flood if task.done()]
        assert len(refused) == 12
        assert all(
            isinstance(admission.err_value, QueueFull) for admission in refused
        )
        small = await start_waiting(gate, 1, account='small')
        await asyncio.sleep(0)
        assert gate.queued == 8
        assert sum(task.done() for task in flood) == 13
        slot.release(_OK)
        admitted, _ = await small[0]
        assert admitted.is_ok()

    run_virtual(scenario())


def test_nothing_starts_past_its_deadline_or_without_its_caller():
    """Requests without a waiting caller waste the slots of the upstream."""

    async def scenario():
        gate = make_gate()
        slot = (await gate.admit(make_ticket())).ok_value
        late, cancelled = await asyncio.gather(
            start_waiting(gate, 1, deadline=0.5), start_waiting(gate, 1)
        )
        await asyncio.sleep(0.2)
        cancelled[0].cancel()
        await asyncio.sleep(0.4)
        assert late[0].done()
        refusal, ended_at = late[0].result()
        assert isinstance(refusal.err_value, DeadlinePassed)
        assert ended_at == pytest.approx(0.5)
        assert gate.queued == 0
        past = await gate.admit(make_ticket(deadline=0.5))
        assert past == Err(DeadlinePassed())
        slot.release(_OK)
        assert gate.in_progress == 0

    run_virtual(scenario())


def test_slot_granted_while_its_caller_cancels_is_not_leaked():
    """A slot granted just before the wait is cancelled has no holder.

    A leaked slot lowers the capacity until the daemon restarts.
    """

    async def scenario():
        gate = make_gate()
        slot = (await gate.admit(make_ticket())).ok_value
        [cancelled] = await start_waiting(gate, 1)
        slot.release(_OK)
        assert gate.in_progress == 1
        cancelled.cancel()
        await asyncio.gather(cancelled, return_exceptions=True)
        assert gate.in_progress == 0
        again = (await gate.admit(make_ticket())).ok_value
        again.release(_OK)
        again.release(_OK)
        assert gate.in_progress == 0

    run_virtual(scenario())


def test_wait_beyond_the_deadline_is_refused_at_once():
    """A request that queues in vain could have used another gate.

    The estimated wait must be close to the wait of an admitted request.
    """

    async def scenario():
        gate = make_gate(slots=1)
        for _ in range(50):
            await hold_slot(gate, seconds=0.1)
        now = asyncio.get_running_loop().time()
        waiting = await start_waiting(gate, 3, seconds=0.1, deadline=now + 9)
        refused = await gate.admit(make_ticket(deadline=now + 0.25))
        patient = await gate.admit(make_ticket(deadline=now + 9, max_wait=0.2))
        for refusal in (refused.err_value, patient.err_value):
            assert isinstance(refusal, WaitTooLong)
            assert refusal.estimated_wait == pytest.approx(0.3, rel=0.1)
        _, started = await asyncio.create_task(
            hold_slot(gate, deadline=now + 9, max_wait=0.4)
        )
        assert started - now == pytest.approx(0.3, rel=0.1)
        await asyncio.gather(*waiting)

    run_virtual(scenario())


def test_draining_gate_refuses_new_requests_and_aborts_none():
    """A drain must not abort requests, nor end before all its reasons do."""

    async def scenario():
        gate = make_gate()
        slot = (await gate.admit(make_ticket())).ok_value
        waiting = await start_waiting(gate, 2)
        gate.drain('stopping')
        gate.drain('out of service')
        await asyncio.sleep(0)
        for task in waiting:
            assert isinstance(task.result()[0].err_value, Draining)
        gate.resume('out of service')
        refused = await gate.admit(make_ticket())
        assert refused == Err(Draining('stopping'))
        assert gate.load == 1
        empty = asyncio.create_task(gate.wait_until_idle())
        await asyncio.sleep(1)
        assert not empty.done()
        assert not slot.released
        slot.release(_OK)
        await empty
        gate.resume('stopping')
        assert (await gate.admit(make_ticket())).is_ok()

    run_virtual(scenario())


def test_snapshots_drain_resume_and_resize():
    """A gate that ignores a snapshot admits to a withdrawn endpoint."""

    async def scenario():
        gate = make_gate()

        def publish(*published):
            objects = {object_id(entry): entry for entry in published}
            apply_snapshot(Snapshot(1, b'', objects), 'e0', gate)

        endpoint = Endpoint('e0', 's', 'dc', 2, 9)
        publish(DataCentre('dc', 'r', in_service=False), endpoint)
        assert (await gate.admit(make_ticket())).is_err()
        publish(DataCentre('dc', 'r'))
        assert (await gate.admit(make_ticket())).is_err()
        publish(DataCentre('dc', 'r'), endpoint)
        await raise_limit(gate, 2)
        for _ in range(100):
            await hold_slot(gate, deadline=1e9)
        assert gate.limit == 2
        publish(DataCentre('dc', 'r'), endpoint._replace(slots=1))
        assert gate.limit == 1

    run_virtual(scenario())


def test_limit_falls_after_idle_time_and_signs_of_a_restart():
    """A limit learned while warm makes a cold upstream collapse."""

    async def scenario():
        gate = make_gate(slots=8)
        await raise_limit(gate, 8)
        await asyncio.sleep(31)
        (await gate.admit(make_ticket(deadline=1e9))).ok_value.release(_OK)
        assert gate.limit == 1
        await raise_limit(gate, 8)
        (await gate.admit(make_ticket(deadline=1e9))).ok_value.release(
            ResetDuringAnswer()
        )
        assert gate.limit == 1
        await raise_limit(gate, 8)
        slot = (await gate.admit(make_ticket(deadline=1e9))).ok_value
        slot.release(ConnectionRefused())
        assert gate.limit == 1
        refused = await gate.admit(make_ticket(deadline=1e9))
        assert isinstance(refused.err_value, UpstreamDown)
        await asyncio.sleep(refused.err_value.retry_after)
        assert (await gate.admit(make_ticket(deadline=1e9))).is_ok()

    run_virtual(scenario())


def test_reports_pause_the_growth_of_the_limit_and_never_raise_it():
    """A wrong report of an upstream must not let it be overloaded."""

    async def scenario():
        gate = make_gate()
        gate.report_load(0)
        gate.report_health(healthy=True)
        assert gate.limit == 1
        for _ in range(40):
            gate.report_health(healthy=False)
            await hold_slot(gate, deadline=1e9)
        assert gate.limit == 1
        await raise_limit(gate, 4)

    run_virtual(scenario())


def test_single_outlier_does_not_lower_the_limit():
    """One slow request may be a large one; most being slow is overload."""

    async def scenario():
        gate = make_gate(slots=8)
        await raise_limit(gate, 8)
        outlier = await start_waiting(gate, 1, seconds=5, deadline=1e9)
        others = await start_waiting(gate, 5, seconds=0.01, deadline=1e9)
        await asyncio.gather(*others)
        for _ in range(30):
            await hold_slot(gate, deadline=1e9)
        assert gate.limit == 8
        stalled = await start_waiting(gate, 5, seconds=5, deadline=1e9)
        await asyncio.sleep(1)
        await start_waiting(gate, 1, deadline=1e9)
        assert gate.limit == 4
        await asyncio.gather(*outlier, *stalled)

    run_virtual(scenario())


def test_account_above_its_share_delays_no_other():
    """In a first-in first-out queue, all accounts wait behind a flood."""

    async def scenario(greedy_factor):
        gate = make_gate(slots=4)
        await raise_limit(gate, 4)
        random = Random(3)
        loop = asyncio.get_running_loop()
        waits = []
        refused = 0

        async def request(account):
            nonlocal refused
            requested_at = loop.time()
            admitted, started_at = await hold_slot(
                gate, account=account, deadline=requested_at + 1
            )
            if account != 'greedy':
                waits.append(started_at - requested_at)
                refused += admitted.is_err()

        async def load(account, rate):
            async with asyncio.TaskGroup() as group:
                for _ in range(round(rate * 5)):
                    group.create_task(request(account))
                    await asyncio.sleep(random.expovariate(rate))

        # The capacity is 400 requests per second, the share of each account 80.
        await asyncio.gather(
            load('greedy', 60 * greedy_factor),
            *(load(name, 60) for name in 'abcd'),
        )
        assert refused == 0
        return sorted(waits)[len(waits) * 99 // 100]

    # A round of five accounts over four slots of 10 ms takes 12.5 ms. An
    # account below its share waits at most two rounds and a service time.
    assert run_virtual(scenario(8)) <= 0.035


def test_accounts_share_a_full_queue_by_weight():
    """Without weights, a large account gets no more slots than a small one."""

    async def scenario():
        gate = make_gate(slots=8)
        order = []

        async def request(account, weight):
            admitted, _ = await hold_slot(gate, account=account, weight=weight)
            if admitted.is_ok():
                order.append(account)

        slot = (await gate.admit(make_ticket())).ok_value
        tasks = [
            asyncio.create_task(request(name, weight))
            for _ in range(16)
            for name, weight in (('small', 1), ('large', 3))
        ]
        await asyncio.sleep(0)
        slot.release(_OK)
        await asyncio.gather(*tasks)
        assert order[:16].count('large') == pytest.approx(12, abs=1)

    run_virtual(scenario())


def test_cancelled_requests_do_not_change_the_limit():
    """Callers that cancel must not make the upstream look overloaded."""

    async def scenario():
        gate = make_gate()
        await raise_limit(gate, 4)
        for _ in range(20):
            slot = (await gate.admit(make_ticket(deadline=1e9))).ok_value
            slot.release(Cancelled())
        assert gate.limit == 4
        assert 0 <= gate.load < 0.5

    run_virtual(scenario())
