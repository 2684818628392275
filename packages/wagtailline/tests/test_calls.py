"""Tests of CallClient and CallServer, also with misbehaving peers."""

import asyncio
from random import Random

import pytest
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
from wagtailline.calls.messages import (
    AnswerBody,
    AnswerEnd,
    AnswerStart,
    CallRefused,
    CallStart,
)
from wagtailline.messages import Hello
from wagtailline.ports import Address
from wagtailline_lab.network import LinkQuality, MemoryNetwork
from wagtailline_lab.virtual import run_virtual

_CLIENT_ADDRESS = Address('127.0.0.1', 1)
_GATE_ADDRESS = Address('127.0.0.1', 2)
_WINDOW_BYTES = 64 * 1024
_CHUNK_BYTES = 16 * 1024


def _hello(endpoint):
    return Hello(1, endpoint, endpoint, 'dc', 1, 'calls')


def _request(target='/', timeout_ms=1000):
    return CallRequest(1, 'far', 'r', 'a', '', 'POST', target, (), timeout_ms)


def _run(scenario, handler=None, peer=None):
    """Run a scenario against a CallServer, or a peer that sends messages."""

    async def main():
        quality = LinkQuality(min_delay=0.001, max_delay=0.001)
        network = MemoryNetwork(Random(1), quality)
        server = CallServer(handler, _hello('far'))

        async def exchange_hellos(channel):
            await channel.receive()
            await channel.send(_hello('far'))
            await peer(channel)

        await network.transport(_GATE_ADDRESS).serve(
            _GATE_ADDRESS, exchange_hellos if peer else server.accept
        )
        client = CallClient(
            network.transport(_CLIENT_ADDRESS),
            _hello('near'),
            lambda _: _GATE_ADDRESS,
        )
        try:
            return await scenario(client, network)
        finally:
            await client.close()
            network.stop_process(_GATE_ADDRESS)
            await asyncio.sleep(1)

    return run_virtual(main())


async def _chunks(count, size=_CHUNK_BYTES):
    for _ in range(count):
        yield bytes(size)


def test_slow_reader_holds_back_only_its_own_call():
    """A slow reader of 200 MB must not fill the memory or delay other calls.

    Without flow control for each call, its answer is buffered whole or
    blocks the connection that the calls share.
    """
    observed = {'sent': 0, 'read': 0, 'max_unread': 0}

    async def handler(request, body):
        if request.target == '/large':
            return Ok(Answer(200, (), _chunks(200 * 64)))
        return Ok(Answer(200, (), WholeBody(b'small')))

    def observe(local, remote, message):
        if isinstance(message, AnswerBody):
            observed['sent'] += len(message.content)
            observed['max_unread'] = max(
                observed['max_unread'], observed['sent'] - observed['read']
            )

    async def scenario(client, network):
        network.observe = observe
        large = (await client(_request('/large'), WholeBody())).unwrap()
        for number in range(30):
            observed['read'] += len(await anext(large.body))
            started = asyncio.get_running_loop().time()
            small = (await client(_request(), WholeBody())).unwrap()
            assert small.body.content == b'small'
            assert asyncio.get_running_loop().time() - started < 0.003
            await asyncio.sleep(0.9 if number < 3 else 0)
        async for content in large.body:
            observed['read'] += len(content)

    _run(scenario, handler)
    assert observed['read'] == 200 * 1024 * 1024
    assert observed['max_unread'] <= 2 * _WINDOW_BYTES


@pytest.mark.parametrize('leaves', ['task', 'body', 'process'])
def test_leaving_caller_cancels_the_execution(leaves):
    """An execution for a caller that left must not occupy an upstream slot."""
    ended = []

    async def handler(request, body):
        try:
            if leaves != 'body':
                await asyncio.sleep(10)
        except asyncio.CancelledError:
            ended.append(leaves)
            raise
        return Ok(Answer(200, (), _endless(ended)))

    async def scenario(client, network):
        task = asyncio.ensure_future(client(_request(), WholeBody()))
        await asyncio.sleep(0.1)
        if leaves == 'task':
            task.cancel()
        elif leaves == 'process':
            network.stop_process(_CLIENT_ADDRESS)
        else:
            await task.result().unwrap().body.aclose()
        await asyncio.sleep(0.1)
        return tuple(ended)

    assert _run(scenario, handler) == (leaves,)


async def _endless(ended):
    try:
        while True:
            yield b'x'
            await asyncio.sleep(0.01)
    finally:
        ended.append('body')


def test_refusal_tells_whether_the_call_was_sent():
    """A false ``executed`` of ``no`` makes the caller repeat a payment."""

    async def handler(request, body):
        if request.target == '/refuse':
            return Err(Refusal('overload', 'no', 70))
        if request.target == '/raise':
            raise ValueError
        await asyncio.sleep(10)

    async def scenario(client, network):
        refusals = {}
        for target in ('/refuse', '/raise', '/late', '/lost', '/dead'):
            if target == '/lost':
                loop = asyncio.get_running_loop()
                loop.call_later(0.5, network.stop_process, _GATE_ADDRESS)
            outcome = await client(_request(target), WholeBody())
            refusals[target] = outcome.unwrap_err()
        return refusals

    assert _run(scenario, handler) == {
        '/refuse': Refusal('overload', 'no', 70),
        '/raise': Refusal('internal_error', 'unknown'),
        '/late': Refusal('deadline', 'unknown'),
        '/lost': Refusal('connection_lost', 'unknown'),
        '/dead': Refusal('gate_unreachable', 'no'),
    }


def test_crossed_and_repeated_answers_reach_no_other_call():
    """Repeated or reordered answers must not reach another call."""

    async def peer(channel):
        first = await channel.receive()
        second = await channel.receive()
        for number in (
            second.call_number,
            first.call_number,
            second.call_number,
            99,
        ):
            await channel.send(
                AnswerStart(number, 200, (), 0, b'%d' % number, True)
            )
            # The simulated network may reorder messages sent at the same time.
            await asyncio.sleep(0.01)
            await channel.send(CallRefused(number, 'late', 'no', 0))
            await channel.send(AnswerBody(number, 0, b'late'))
        await channel.receive()

    async def scenario(client, network):
        answers = await asyncio.gather(
            client(_request(), WholeBody()), client(_request(), WholeBody())
        )
        return [answer.unwrap().body.content for answer in answers]

    assert _run(scenario, peer=peer) == [b'1', b'2']


@pytest.mark.parametrize(
    ('messages', 'expected'),
    [
        ((AnswerBody(1, 2, b'cd'), AnswerBody(1, 0, b'ab')) * 2, b'abcd'),
        ((AnswerBody(1, 0, b'ab'), AnswerBody(1, 3, b'd')), None),
        ((AnswerBody(1, 0, b'abc'), AnswerEnd(1, 3, False)), None),
        ((AnswerBody(1, _WINDOW_BYTES, b'x'),), None),
        ((AnswerBody(1, -1, b'x'),), None),
    ],
)
def test_incomplete_answer_never_looks_complete(messages, expected):
    """Lost, repeated, reordered or excess chunks must not alter an answer."""

    async def peer(channel):
        await channel.receive()
        await channel.send(AnswerStart(1, 200, (), 0, b'', False))
        for message in messages:
            await channel.send(message)
            await asyncio.sleep(0.01)
        await channel.send(AnswerEnd(1, 4, True))
        await channel.receive()

    async def scenario(client, network):
        answer = (await client(_request(), WholeBody())).unwrap()
        try:
            return b''.join([chunk async for chunk in answer.body])
        except BodyTruncated:
            return None

    assert _run(scenario, peer=peer) == expected


def test_truncated_request_body_never_looks_complete():
    """A truncated order that looks complete would be booked wrong."""
    complete_bodies = []

    async def handler(request, body):
        complete_bodies.append(b''.join([chunk async for chunk in body]))
        return Ok(Answer(200, (), WholeBody()))

    async def body():
        yield b'part'
        await asyncio.sleep(0.01)
        raise BodyTruncated

    async def scenario(client, network):
        refusal = (await client(_request(), body())).unwrap_err()
        await asyncio.sleep(2)
        return refusal

    assert _run(scenario, handler) == Refusal('body_truncated', 'unknown')
    assert complete_bodies == []


def test_peer_that_exceeds_its_credit_is_disconnected():
    """A peer that ignores its credit must not fill the memory."""

    async def peer(channel):
        await channel.receive()
        await channel.send(AnswerStart(1, 200, (), 0, b'', False))
        for index in range(5):
            await channel.send(
                AnswerBody(1, index * _CHUNK_BYTES, bytes(_CHUNK_BYTES))
            )
        await asyncio.sleep(0.1)
        await channel.send(AnswerEnd(1, 5 * _CHUNK_BYTES, True))
        await channel.receive()

    async def scenario(client, network):
        answer = (await client(_request(), WholeBody())).unwrap()
        await asyncio.sleep(0.5)
        received = 0
        with pytest.raises(BodyTruncated):
            async for content in answer.body:
                received += len(content)
        return received

    assert _run(scenario, peer=peer) <= _WINDOW_BYTES


def test_repeated_start_runs_once():
    """A repeated start message must not repeat a payment."""
    executed_targets = []

    async def handler(request, body):
        executed_targets.append(request.target)
        return Ok(Answer(200, (), WholeBody()))

    async def scenario(client, network):
        channel = await network.transport(_CLIENT_ADDRESS).dial(_GATE_ADDRESS)
        await channel.send(_hello('near'))
        await asyncio.sleep(0.01)
        for number in (1, 3, 2, 3, 1, 2):
            start = CallStart(number, _request(f'/{number}'), b'', True)
            await channel.send(start)
            await asyncio.sleep(0.01)

    _run(scenario, handler)
    assert sorted(executed_targets) == ['/1', '/2', '/3']


def test_gate_of_another_endpoint_gets_no_call():
    """The address of a dead VM may pass to the gate of another endpoint."""

    async def handler(request, body):
        raise AssertionError

    async def scenario(client, network):
        request = _request()._replace(endpoint='other')
        return (await client(request, WholeBody())).unwrap_err()

    assert _run(scenario, handler) == Refusal('gate_unreachable', 'no')


def test_silent_connection_is_replaced():
    """A VM that is gone sends no reset, and TCP waits for minutes.

    Without a replacement, each call on the connection ends at its deadline.
    """

    async def handler(request, body):
        return Ok(Answer(200, (), WholeBody()))

    async def scenario(client, network):
        (await client(_request(), WholeBody())).unwrap()
        network.partition(lambda local, remote: True)
        first = await client(_request(), WholeBody())
        second = await client(_request(), WholeBody())
        network.heal()
        (await client(_request(), WholeBody())).unwrap()
        return first.unwrap_err(), second.unwrap_err()

    assert _run(scenario, handler) == (
        Refusal('deadline', 'unknown'),
        Refusal('gate_unreachable', 'no'),
    )
