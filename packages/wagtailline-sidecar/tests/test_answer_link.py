"""Tests of the admission of calls whose answers fill the VM's link."""

import asyncio

import pytest
from result import Err, Ok

from wagtailline.calls import Answer, CallRequest, WholeBody
from wagtailline.ports import LoopClock
from wagtailline.uplink import Uplink
from wagtailline_sidecar.answer_link import AnswerLink
from wagtailline_sidecar.gate import Gate
from wagtailline_sidecar.gate_service import GateService
from wagtailline_sidecar.header_names import HeaderNames
from wagtailline_sidecar.warm_up import WarmUp

LINK_BYTES_PER_SECOND = 625_000  # 5 Mbit/s
BODY_BYTES = 90_000
TARGET_SECONDS = 1.0


class ImmediateUpstream:
    """Upstream that answers each request at once with a large body."""

    async def run(self, request, body, seconds):
        await asyncio.sleep(0.05)
        return Ok(Answer(200, (), WholeBody(bytes(BODY_BYTES))))


class ReadyUpstream:
    def find_refusal_reason(self, instance: str) -> str:
        return ''


class Vm:
    """Gate whose answers are sent over the link as the call server does it."""

    def __init__(self) -> None:
        clock = LoopClock()
        warm_up = WarmUp(clock)
        warm_up.confirm(0)
        gate = Gate(clock, warm_up)
        gate.slots = 50
        self.uplink = Uplink(clock, LINK_BYTES_PER_SECOND)
        self.events: list = []
        self.latencies: list[float] = []
        self.service = GateService(
            gate,
            ImmediateUpstream(),
            ReadyUpstream(),
            AnswerLink(self.uplink, 'vm'),
            clock,
            self.events.append,
            HeaderNames(),
        )

    async def call(self, sender: str = 'other'):
        started_at = asyncio.get_running_loop().time()
        request = CallRequest(
            1,
            'host',
            'scan',
            '',
            '',
            'GET',
            '/',
            (),
            5000,
            sender=sender,
            target_ms=int(TARGET_SECONDS * 1000),
        )
        outcome = await self.service(request, WholeBody())
        if isinstance(outcome, Ok) and sender == 'other':
            with self.uplink.open_transfer(BODY_BYTES) as transfer:
                await transfer.wait_turn(BODY_BYTES)
        now = asyncio.get_running_loop().time()
        self.latencies.append(now - started_at)
        return outcome


async def overload(vm: Vm, calls: int) -> list:
    """Make more calls in a second than the link carries answers."""
    await vm.call()
    vm.latencies.clear()
    tasks = []
    for _ in range(calls):
        tasks.append(asyncio.ensure_future(vm.call()))
        await asyncio.sleep(1 / calls)
    return [await task for task in tasks]


@pytest.mark.looptime
async def test_calls_beyond_the_rate_of_the_link_are_refused_at_once():
    """Guards against downloads that all end late because all are admitted."""
    vm = Vm()
    outcomes = await overload(vm, calls=30)
    served = [outcome for outcome in outcomes if isinstance(outcome, Ok)]
    refused = [outcome for outcome in outcomes if isinstance(outcome, Err)]
    assert len(served) >= 8
    assert refused
    assert {outcome.err_value.executed for outcome in refused} == {'no'}
    assert max(vm.latencies) < TARGET_SECONDS + 0.2


@pytest.mark.looptime
async def test_calls_of_the_own_vm_do_not_wait_for_the_link():
    """Guards against refusing a request whose answer needs no link."""
    vm = Vm()
    await overload(vm, calls=30)
    assert isinstance(await vm.call(sender='vm'), Ok)


@pytest.mark.looptime
async def test_events_show_the_backlog_of_the_link():
    """Guards against a full link that no log line shows."""
    vm = Vm()
    await overload(vm, calls=30)
    assert max(event.link_backlog_ms for event in vm.events) > 500
