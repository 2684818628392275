"""Stateful property test of CallClient, CallServer and Router.

A model counts the executions of each call and compares every byte of request
and answer bodies. Between any two steps connections are cut, gates die, links
are blocked, and messages are repeated and reordered.
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
from wagtailline.routing import Handlers, LocalEndpoint, Router
from wagtailline.snapshot import Snapshot, SnapshotStore
from wagtailline_lab.network import LinkQuality, MemoryNetwork
from wagtailline_lab.virtual import new_virtual_loop

_CLIENT = Address('127.0.0.1', 1)
_GATES = {f's-{n}': Address('127.0.0.1', 10 + n) for n in range(3)}
_TIMEOUT_MS = 2000
_BODY_BYTES = st.sampled_from((0, 1, 400, 16 * 1024, 70_000, 300_000))


class CallPlan(NamedTuple):
    """Request of one call, and how the upstream handles it."""

    method: str
    depth: int
    request_bytes: int
    answer_bytes: int
    streams_answer: bool
    behaviour: str
    pause_seconds: float
    truncates_bodies: bool


class CallRecord:
    """Expected content and observed executions of one call."""

    def __init__(self, number: int, plan: CallPlan) -> None:
        self.plan = plan
        self.request_content = Random(number).randbytes(plan.request_bytes)
        self.answer_content = Random(-number - 1).randbytes(plan.answer_bytes)
        self.executions = 0
        self.running_executions = 0
        self.received_wrong_body = False
        self.outcome: object = None
        self.task: asyncio.Task[None] | None = None


class OrderedNetwork(MemoryNetwork):
    """Network that delivers in order, as TCP does, while ``is_ordered``."""

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
    """One client and three gates of one service."""

    @initialize(seed=st.integers(0, 2**16))
    def start_fleet(self, seed):
        self.loop = new_virtual_loop()
        self.calls: list[CallRecord] = []
        self.random = Random(seed)
        self.run(self._start_fleet())

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    async def _start_fleet(self):
        self.network = OrderedNetwork(self.random)
        for name in _GATES:
            await self._serve_gate(name)
        client = CallClient(
            self.network.transport(_CLIENT), _hello('own'), _GATES.get
        )
        self.client = client
        self.router = Router(
            _make_store(),
            LocalEndpoint('own', 'dc'),
            Handlers(client, client),
            LoopClock(),
            self.random,
        )

    async def _serve_gate(self, name):
        server = CallServer(self._execute, _hello(name))
        address = _GATES[name]
        await self.network.transport(address).serve(address, server.accept)

    async def _execute(self, request, body):
        record = self.calls[int(request.target)]
        plan = record.plan
        if plan.behaviour == 'refuse':
            return Err(Refusal('overload', 'no'))
        record.executions += 1
        record.running_executions += 1
        try:
            received = b''.join([chunk async for chunk in body])
            record.received_wrong_body = received != record.request_content
            await asyncio.sleep(plan.pause_seconds)
        except BaseException:
            record.running_executions -= 1
            raise
        if plan.behaviour == 'fail':
            record.running_executions -= 1
            return Err(Refusal('upstream_reset', 'unknown'))
        if not plan.streams_answer:
            record.running_executions -= 1
            return Ok(Answer(200, (), WholeBody(record.answer_content)))
        return Ok(Answer(200, (), _AnswerStream(record)))

    @rule(
        plan=st.builds(
            CallPlan,
            method=st.sampled_from(('GET', 'POST')),
            depth=st.integers(0, 3),
            request_bytes=_BODY_BYTES,
            answer_bytes=_BODY_BYTES,
            streams_answer=st.booleans(),
            behaviour=st.sampled_from(('answer',) * 3 + ('refuse', 'fail')),
            pause_seconds=st.sampled_from((0, 0.001, 0.1, 3)),
            truncates_bodies=st.sampled_from((False, False, False, True)),
        ),
        count=st.integers(1, 4),
    )
    def call(self, plan, count):
        for _ in range(count):
            number = len(self.calls)
            record = CallRecord(number, plan)
            self.calls.append(record)
            record.task = self.loop.create_task(self._call(number, record))
        self.run(asyncio.sleep(0))

    async def _call(self, number, record):
        plan = record.plan
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
        body = WholeBody(record.request_content)
        if plan.truncates_bodies or plan.request_bytes % 2:
            body = _request_body(record, self.random)
        outcome = await self.router(request, body)
        if isinstance(outcome, Err):
            record.outcome = outcome.err_value
            return
        answer = outcome.ok_value
        try:
            record.outcome = b''.join([chunk async for chunk in answer.body])
        except BodyTruncated:
            record.outcome = 'truncated'
        finally:
            await answer.body.aclose()

    @rule(index=st.integers(0, 10**6))
    def cancel_call(self, index):
        if self.calls:
            self.calls[index % len(self.calls)].task.cancel()
            self.run(asyncio.sleep(0))

    @rule(seconds=st.sampled_from((0.0003, 0.001, 0.002, 0.01, 0.2, 4)))
    def advance(self, seconds):
        self.run(asyncio.sleep(seconds))
        self._check()

    @rule(name=st.sampled_from(sorted(_GATES)), restarts=st.booleans())
    def kill_gate(self, name, restarts):
        async def kill():
            self.network.stop_process(_GATES[name])
            if restarts:
                await self._serve_gate(name)

        self.run(kill())

    @rule(name=st.sampled_from(sorted(_GATES)))
    def start_gate(self, name):
        self.run(self._serve_gate(name))

    @rule(
        names=st.sets(st.sampled_from(sorted(_GATES))),
        both_directions=st.booleans(),
    )
    def block_gates(self, names, both_directions):
        blocked = {_GATES[name] for name in names}
        self.network.partition(
            lambda local, remote: (
                remote in blocked or (both_directions and local in blocked)
            )
        )

    @rule(is_ordered=st.booleans(), duplication=st.sampled_from((0, 0.3)))
    def set_network_quality(self, is_ordered, duplication):
        self.network.is_ordered = is_ordered
        self.network.quality = LinkQuality(duplication=duplication)

    def _check(self):
        for record in self.calls:
            outcome = record.outcome
            assert not record.received_wrong_body, (
                'a truncated body looked complete'
            )
            if isinstance(outcome, bytes):
                assert outcome == record.answer_content
            if isinstance(outcome, Refusal) and outcome.executed == 'no':
                assert record.executions == 0, outcome
            if record.plan.method == 'POST':
                assert record.executions <= 1

    def teardown(self):
        if not hasattr(self, 'loop'):
            return
        self.network.heal()
        # Each single wait of a call lasts at most its timeout.
        self.run(asyncio.sleep(6 * _TIMEOUT_MS / 1000))
        self._check()
        for record in self.calls:
            assert record.task.done(), 'a call did not end'
            if not record.task.cancelled():
                record.task.result()
            assert record.running_executions == 0, (
                'an execution outlived its call'
            )
        self.run(self.client.close())
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.run(asyncio.sleep(0))
        self.loop.close()


class _AnswerStream:
    """Answer body that the upstream sends in chunks of 9,999 bytes."""

    def __init__(self, record):
        self._record = record
        self._offset = 0
        self._is_open = True

    def __aiter__(self):
        return self

    async def __anext__(self):
        record = self._record
        await asyncio.sleep(record.plan.pause_seconds / 100)
        if record.plan.truncates_bodies and self._offset:
            raise BodyTruncated
        chunk = record.answer_content[self._offset : self._offset + 9_999]
        self._offset += len(chunk)
        if not chunk:
            raise StopAsyncIteration
        return chunk

    async def aclose(self):
        if self._is_open:
            self._is_open = False
            self._record.running_executions -= 1


async def _request_body(record, random):
    offset = 0
    while offset < len(record.request_content):
        size = random.choice((1, 5_000, 40_000))
        yield record.request_content[offset : offset + size]
        offset += size
        await asyncio.sleep(random.choice((0, 0.0005)))
        if record.plan.truncates_bodies:
            raise BodyTruncated


def _hello(endpoint):
    return Hello(1, endpoint, endpoint, 'dc', 1, 'calls')


def _make_store():
    objects = [DataCentre('dc', 'r'), Service('s'), Route('r', '/', 's')]
    objects += [Endpoint(name, 's', 'dc', 6, 120) for name in _GATES]
    store = SnapshotStore()
    store.install(Snapshot(1, b'', {object_id(item): item for item in objects}))
    return store


TestCalls = CallMachine.TestCase
TestCalls.settings = settings(
    max_examples=60,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
