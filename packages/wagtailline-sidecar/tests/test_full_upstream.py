"""Tests of the gate before upstreams that have less room than they say.

The upstream keeps some slots for itself. When it is full, it answers that it
did not run the request, resets the connection, never responds, or is slow.
"""

import asyncio
from random import Random
from typing import NamedTuple

import pytest
from result import Err, Ok

from wagtailline.calls import Answer, CallRequest, Refusal, WholeBody
from wagtailline.ports import LoopClock
from wagtailline.uplink import Uplink
from wagtailline_sidecar.answer_link import AnswerLink
from wagtailline_sidecar.gate import Gate
from wagtailline_sidecar.gate_service import GateService
from wagtailline_sidecar.header_names import HeaderNames
from wagtailline_sidecar.warm_up import WarmUp

SLOTS = 8
SERVICE_SECONDS = 0.05
TIMEOUT_SECONDS = 1.0
HABITS = ('shed', 'reset', 'silent', 'slow')


class Abandoned(NamedTuple):
    """Silent call: how long it was waited for, and its time limit."""

    waited_seconds: float
    limit_seconds: float


class FullUpstream:
    """Upstream whose room is smaller than its registered slots."""

    def __init__(self, habit: str) -> None:
        self.habit = habit
        self.room = SLOTS
        self.running = 0
        self.turned_away = 0
        self.abandoned: list[Abandoned] = []
        self.random = Random(1)

    async def run(self, request, body, seconds):
        if self.running >= self.room and self.habit != 'slow':
            self.turned_away += 1
            return await self._turn_away(seconds)
        self.running += 1
        try:
            factor = max(self.running / self.room, 1)
            await asyncio.sleep(
                self.random.uniform(0.5, 1.5) * SERVICE_SECONDS * factor
            )
        finally:
            self.running -= 1
        return Ok(Answer(200, (), WholeBody(b'ok')))

    async def _turn_away(self, seconds):
        if self.habit == 'shed':
            return Err(Refusal('upstream_shed', 'no'))
        if self.habit == 'reset':
            return Err(Refusal('upstream_reset', 'unknown'))
        started_at = asyncio.get_running_loop().time()
        try:
            await asyncio.sleep(seconds)
        finally:
            waited_seconds = asyncio.get_running_loop().time() - started_at
            self.abandoned.append(Abandoned(waited_seconds, seconds))
        return Err(Refusal('upstream_reset', 'unknown'))


class ReadyUpstream:
    def find_refusal_reason(self, instance: str) -> str:
        return ''


class Vm:
    """Gate in front of the upstream."""

    def __init__(self, habit: str) -> None:
        clock = LoopClock()
        warm_up = WarmUp(clock)
        warm_up.confirm(0)
        self.gate = Gate(clock, warm_up)
        self.gate.slots = SLOTS
        self.upstream = FullUpstream(habit)
        self.random = Random(2)
        self.outcomes: list[tuple[bool, object, float]] = []
        self.service = GateService(
            self.gate,
            self.upstream,
            ReadyUpstream(),
            AnswerLink(Uplink(clock), 'vm'),
            clock,
            lambda event: None,
            HeaderNames(),
        )

    async def call(self, *, is_repeatable: bool) -> None:
        request = CallRequest(
            1,
            'host',
            'status',
            '',
            '',
            'GET',
            '/',
            (),
            int(TIMEOUT_SECONDS * 1000),
            is_repeatable=is_repeatable,
        )
        started_at = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(TIMEOUT_SECONDS):
                outcome = await self.service(request, WholeBody())
        except TimeoutError:
            outcome = Err(Refusal('deadline', 'unknown'))
        took_seconds = asyncio.get_running_loop().time() - started_at
        self.outcomes.append((is_repeatable, outcome, took_seconds))

    async def send(self, seconds: float, *, is_repeatable: bool) -> None:
        """Send requests at the rate of all slots."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        tasks = []
        while loop.time() < end:
            tasks.append(
                asyncio.ensure_future(self.call(is_repeatable=is_repeatable))
            )
            await asyncio.sleep(
                self.random.expovariate(SLOTS / SERVICE_SECONDS)
            )
        await asyncio.gather(*tasks)


@pytest.mark.looptime
@pytest.mark.parametrize('habit', HABITS)
async def test_gate_learns_the_room_of_a_full_upstream(habit):
    """Load: as much as all slots serve, when half of them are occupied.

    Guards against a gate that goes on sending what its upstream has no room
    for, and one that forgets the room after the upstream has recovered.
    """
    vm = Vm(habit)
    await vm.send(2, is_repeatable=True)
    vm.upstream.room = SLOTS // 2
    await vm.send(5, is_repeatable=True)
    vm.upstream.turned_away = 0
    vm.outcomes.clear()
    await vm.send(5, is_repeatable=True)
    assert vm.upstream.turned_away < 0.15 * len(vm.outcomes)
    vm.upstream.room = SLOTS
    await asyncio.sleep(3)
    assert vm.gate.slots == SLOTS


@pytest.mark.looptime
@pytest.mark.parametrize('is_repeatable', [True, False])
async def test_call_without_response_is_never_broken_off(is_repeatable):
    """Guards against work that is given up because it is silent for a while.

    Its upstream may be at work on it until its time limit, whatever the others
    took. Its outcome is unknown then, so it is never called not executed.
    """
    vm = Vm('silent')
    await vm.send(2, is_repeatable=is_repeatable)
    vm.upstream.room = SLOTS // 2
    await vm.send(5, is_repeatable=is_repeatable)
    assert vm.upstream.abandoned
    for waited_seconds, limit_seconds in vm.upstream.abandoned:
        assert waited_seconds > limit_seconds - 0.05
    for _, outcome, took_seconds in vm.outcomes:
        if isinstance(outcome, Err) and took_seconds > TIMEOUT_SECONDS / 2:
            assert outcome.err_value.executed == 'unknown' or (
                outcome.err_value.reason in ('deadline', 'wait_too_long')
            )


class MixedUpstream(FullUpstream):
    """Upstream at which some requests last up to their time limit or longer."""

    async def run(self, request, body, seconds):
        if self.random.random() < 0.2:
            await asyncio.sleep(self.random.uniform(0.3, 1.5))
            return Ok(Answer(200, (), WholeBody(b'ok')))
        return await super().run(request, body, seconds)


@pytest.mark.looptime
async def test_upstream_with_long_work_keeps_its_slots():
    """Load: as much as all slots serve; a fifth lasts six times as long.

    Guards against a gate that takes long work for a sign that its upstream is
    full, sends less and so refuses more the longer an overload lasts.
    """
    vm = Vm('slow')
    vm.upstream = MixedUpstream('slow')
    vm.service._upstream = vm.upstream
    await vm.send(3, is_repeatable=True)
    lowest = SLOTS
    sending = asyncio.ensure_future(vm.send(5, is_repeatable=True))
    while not sending.done():
        lowest = min(lowest, vm.gate.slots)
        await asyncio.sleep(0.05)
    assert lowest >= SLOTS - 1
