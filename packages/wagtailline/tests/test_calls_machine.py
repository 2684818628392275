"""Fuzzes CallClient, CallServer and Router against an oracle.

The oracle counts executions and compares every byte of bodies and answers,
while connections are cut, gates die, links are blocked and messages are
repeated and reordered between any two steps.
"""

import asyncio
from random import Random
from typing import NamedTuple

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule
from result import Err, Ok

from wagtailline.calls import (
    Answer,
    BodyTruncated,
    CallClient,
    CallRequest,
    CallServer,
    Refusal,
    WholeBody,
)
from wagtailline.messages import Hello
from wagtailline.objects import DataCentre, Endpoint, Route, Service, object_id
from wagtailline.ports import Address, LoopClock
from wagtailline.routing import Handlers, Position, Router
from wagtailline.snapshot import Snapshot, SnapshotStore
from wagtailline_lab.network import LinkQuality, MemoryNetwork
from wagtailline_lab.virtual import new_virtual_loop

_CLIENT = Address('127.0.0.1', 1)
_GATES = {f's-{n}': Address('127.0.0.1', 10 + n) for n in range(3)}
_TIMEOUT_MS = 2000
_SIZES = st.sampled_from((0, 1, 400, 16 * 1024, 70_000, 300_000))


class Plan(NamedTuple):
    """What one call sends, and what the upstream does with it."""

    method: str
    depth: int
    sent: int
    answered: int
    streams: bool
    behaviour: str
    pause: float
    body_cut: bool


class Kept:
    """The oracle's record of one call."""

    def __init__(self, number: int, plan: Plan) -> None:
        self.plan = plan
        self.sent = Random(number).randbytes(plan.sent)
        self.answered = Random(-number - 1).randbytes(plan.answered)
        self.executions = 0
        self.running = 0
        self.saw_cut_body = False
        self.outcome: object = None
        self.task: asyncio.Task[None] | None = None


class OrderedNetwork(MemoryNetwork):
    """Delivers in order, as TCP does, unless told to misbehave."""

    def __init__(self, random: Random) -> None:
        super().__init__(random, LinkQuality())
        self.is_ordered = True

    def carry(self, sender, message):
        if not self.is_ordered:
            return super().carry(sender, message)
        receiver = sender.peer
        if receiver is None or self._blocked(sender.local, sender.remote):
            return None
        queue = receiver.__dict__.setdefault('ordered', [])
        queue.append(message)
        loop = asyncio.get_running_loop()
        loop.call_later(
            self._draw_delay(), lambda: receiver.deliver(queue.pop(0))
        )


class CallMachine(RuleBasedStateMachine):
    """One sender, three gates of one service."""

    @initialize(seed=st.integers(0, 2**16))
    def begin(self, seed):
        self.loop = new_virtual_loop()
        self.calls: list[Kept] = []
        self.random = Random(seed)
        self.run(self._begin())

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    async def _begin(self):
        self.network = OrderedNetwork(self.random)
        for name in _GATES:
            await self._serve(name)
        client = CallClient(
            self.network.transport(_CLIENT), _hello('own'), _GATES.get
        )
        self.client = client
        self.router = Router(
            _store(),
            Position('own', 'dc'),
            Handlers(client, client),
            LoopClock(),
            self.random,
        )

    async def _serve(self, name):
        server = CallServer(self._upstream, _hello(name))
        address = _GATES[name]
        await self.network.transport(address).serve(address, server.accept)

    async def _upstream(self, request, body):
        kept = self.calls[int(request.target)]
        plan = kept.plan
        if plan.behaviour == 'refuse':
            return Err(Refusal('overload', 'no'))
        kept.executions += 1
        kept.running += 1
        try:
            received = b''.join([piece async for piece in body])
            kept.saw_cut_body = received != kept.sent
            await asyncio.sleep(plan.pause)
        except BaseException:
            kept.running -= 1
            raise
        if plan.behaviour == 'fail':
            kept.running -= 1
            return Err(Refusal('upstream_reset', 'unknown'))
        if not plan.streams:
            kept.running -= 1
            return Ok(Answer(200, (), WholeBody(kept.answered)))
        return Ok(Answer(200, (), _Stream(kept)))

    @rule(
        plan=st.builds(
            Plan,
            method=st.sampled_from(('GET', 'POST')),
            depth=st.integers(0, 3),
            sent=_SIZES,
            answered=_SIZES,
            streams=st.booleans(),
            behaviour=st.sampled_from(('answer',) * 3 + ('refuse', 'fail')),
            pause=st.sampled_from((0, 0.001, 0.1, 3)),
            body_cut=st.sampled_from((False, False, False, True)),
        ),
        count=st.integers(1, 4),
    )
    def call(self, plan, count):
        for _ in range(count):
            number = len(self.calls)
            kept = Kept(number, plan)
            self.calls.append(kept)
            kept.task = self.loop.create_task(self._call(number, kept))
        self.run(asyncio.sleep(0))

    async def _call(self, number, kept):
        plan = kept.plan
        request = CallRequest(
            version=1,
            endpoint='',
            route='r',
            client_account='a',
            key_digest='',
            method=plan.method,
            target=str(number),
            headers=(),
            timeout_ms=_TIMEOUT_MS,
            depth=plan.depth,
        )
        body = WholeBody(kept.sent)
        if plan.body_cut or plan.sent % 2:
            body = _sent_body(kept, self.random)
        outcome = await self.router(request, body)
        if isinstance(outcome, Err):
            kept.outcome = outcome.err_value
            return
        answer = outcome.ok_value
        try:
            kept.outcome = b''.join([piece async for piece in answer.body])
        except BodyTruncated:
            kept.outcome = 'cut'
        finally:
            await answer.body.aclose()

    @rule(pick=st.integers(0, 10**6))
    def leave(self, pick):
        if self.calls:
            self.calls[pick % len(self.calls)].task.cancel()
            self.run(asyncio.sleep(0))

    @rule(seconds=st.sampled_from((0.0003, 0.001, 0.002, 0.01, 0.2, 4)))
    def advance(self, seconds):
        self.run(asyncio.sleep(seconds))
        self._check()

    @rule(name=st.sampled_from(sorted(_GATES)), returns=st.booleans())
    def kill_gate(self, name, returns):
        async def kill():
            self.network.stop_process(_GATES[name])
            if returns:
                await self._serve(name)

        self.run(kill())

    @rule(name=st.sampled_from(sorted(_GATES)))
    def start_gate(self, name):
        self.run(self._serve(name))

    @rule(names=st.sets(st.sampled_from(sorted(_GATES))), both=st.booleans())
    def block(self, names, both):
        cut = {_GATES[name] for name in names}
        self.network.partition(
            lambda local, remote: remote in cut or (both and local in cut)
        )

    @rule(ordered=st.booleans(), duplication=st.sampled_from((0, 0.3)))
    def disturb(self, ordered, duplication):
        self.network.is_ordered = ordered
        self.network.quality = LinkQuality(duplication=duplication)

    def _check(self):
        for kept in self.calls:
            outcome = kept.outcome
            assert not kept.saw_cut_body, 'a cut body looked whole'
            if isinstance(outcome, bytes):
                assert outcome == kept.answered
            if isinstance(outcome, Refusal) and outcome.executed == 'no':
                assert kept.executions == 0, outcome
            if kept.plan.method == 'POST':
                assert kept.executions <= 1

    def teardown(self):
        if not hasattr(self, 'loop'):
            return
        self.network.heal()
        # Every wait of a call is bounded by its timeout.
        self.run(asyncio.sleep(6 * _TIMEOUT_MS / 1000))
        self._check()
        for kept in self.calls:
            assert kept.task.done(), 'a call did not end'
            if not kept.task.cancelled():
                kept.task.result()
            assert kept.running == 0, 'an execution runs for nobody'
        self.run(self.client.close())
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.run(asyncio.sleep(0))
        self.loop.close()


class _Stream:
    """Answer body of the upstream, in uneven pieces."""

    def __init__(self, kept):
        self._kept = kept
        self._offset = 0
        self._open = True

    def __aiter__(self):
        return self

    async def __anext__(self):
        kept = self._kept
        await asyncio.sleep(kept.plan.pause / 100)
        if kept.plan.body_cut and self._offset:
            raise BodyTruncated
        piece = kept.answered[self._offset : self._offset + 9_999]
        self._offset += len(piece)
        if not piece:
            raise StopAsyncIteration
        return piece

    async def aclose(self):
        if self._open:
            self._open = False
            self._kept.running -= 1


async def _sent_body(kept, random):
    offset = 0
    while offset < len(kept.sent):
        size = random.choice((1, 5_000, 40_000))
        yield kept.sent[offset : offset + size]
        offset += size
        await asyncio.sleep(random.choice((0, 0.0005)))
        if kept.plan.body_cut:
            raise BodyTruncated


def _hello(endpoint):
    return Hello(1, endpoint, endpoint, 'dc', 1, 'calls')


def _store():
    objects = [DataCentre('dc', 'r'), Service('s'), Route('r', '/', 's')]
    objects += [Endpoint(name, 's', 'dc', 6, 120) for name in _GATES]
    store = SnapshotStore()
    store.install(Snapshot(1, b'', {object_id(one): one for one in objects}))
    return store


TestCalls = CallMachine.TestCase
TestCalls.settings = settings(
    max_examples=60,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
