"""Tests of the memory of the calls at a gate."""

import asyncio

from result import Err, Ok
from test_upstream import REQUEST

from wagtailline.calls import Answer, Refusal, WholeBody
from wagtailline.memory_budget import Holding
from wagtailline.request_memory import LIMIT_BYTES, RequestMemory
from wagtailline_sidecar.bounded_calls import BoundedCalls
from wagtailline_sidecar.clock import BootClock

LARGE = REQUEST._replace(headers=((b'a', b''),) * 3900)


async def test_large_heads_of_many_senders_are_refused_before_they_run():
    """Guards against a gate whose memory the heads of all senders take."""
    release = asyncio.Event()
    started = []

    async def handle(request, body):
        started.append(request)
        await release.wait()
        return Ok(Answer(200, (), WholeBody()))

    memory = RequestMemory(BootClock())
    calls = BoundedCalls(handle, memory)
    tasks = [
        asyncio.ensure_future(calls(LARGE, WholeBody())) for _ in range(100)
    ]
    await asyncio.sleep(0)
    assert 1 < len(started) < 20
    assert memory.held_bytes <= LIMIT_BYTES
    release.set()
    outcomes = await asyncio.gather(*tasks)
    refused = [outcome for outcome in outcomes if isinstance(outcome, Err)]
    assert len(refused) == 100 - len(started)
    assert refused[0].err_value == Refusal('request_memory', 'no', 250)
    assert not memory.held_bytes


async def test_ordinary_call_runs_while_the_memory_is_short():
    """Guards against ordinary callers that large heads shut out."""

    async def handle(request, body):
        return Ok(Answer(200, (), WholeBody()))

    memory = RequestMemory(BootClock())
    Holding(memory).resize(LIMIT_BYTES)
    outcome = await BoundedCalls(handle, memory)(REQUEST, WholeBody())
    assert isinstance(outcome, Ok)
