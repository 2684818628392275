"""Guards single rules of call connections, with peers that misbehave."""

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

_NEAR = Address('127.0.0.1', 1)
_FAR = Address('127.0.0.1', 2)
_WINDOW = 64 * 1024
_PIECE = 16 * 1024


def _hello(endpoint):
    return Hello(1, endpoint, endpoint, 'dc', 1, 'calls')


def _request(target='/', timeout_ms=1000):
    return CallRequest(1, 'far', 'r', 'a', '', 'POST', target, (), timeout_ms)


def _run(scenario, handler=None, peer=None):
    """Run with a server for the handler, or a peer that sends anything."""

    async def main():
        quality = LinkQuality(min_delay=0.001, max_delay=0.001)
        network = MemoryNetwork(Random(1), quality)
        server = CallServer(handler, _hello('far'))

        async def greet(channel):
            await channel.receive()
            await channel.send(_hello('far'))
            await peer(channel)

        await network.transport(_FAR).serve(
            _FAR, greet if peer else server.accept
        )
        client = CallClient(
            network.transport(_NEAR), _hello('near'), lambda _: _FAR
        )
        try:
            return await scenario(client, network)
        finally:
            await client.close()
            network.stop_process(_FAR)
            await asyncio.sleep(1)

    return run_virtual(main())


async def _pieces(count, size=_PIECE):
    for _ in range(count):
        yield bytes(size)


def test_slow_reader_holds_back_only_its_own_call():
    """200 MB towards a slow reader must not fill the memory."""
    seen = {'sent': 0, 'read': 0, 'most': 0}

    async def handler(request, body):
        if request.target == '/large':
            return Ok(Answer(200, (), _pieces(200 * 64)))
        return Ok(Answer(200, (), WholeBody(b'small')))

    def observe(local, remote, message):
        if isinstance(message, AnswerBody):
            seen['sent'] += len(message.content)
            seen['most'] = max(seen['most'], seen['sent'] - seen['read'])

    async def scenario(client, network):
        network.observe = observe
        large = (await client(_request('/large'), WholeBody())).unwrap()
        for number in range(30):
            seen['read'] += len(await anext(large.body))
            started = asyncio.get_running_loop().time()
            small = (await client(_request(), WholeBody())).unwrap()
            assert small.body.content == b'small'
            assert asyncio.get_running_loop().time() - started < 0.003
            await asyncio.sleep(0.9 if number < 3 else 0)
        async for content in large.body:
            seen['read'] += len(content)

    _run(scenario, handler)
    assert seen['read'] == 200 * 1024 * 1024
    assert seen['most'] <= 2 * _WINDOW


@pytest.mark.parametrize('leaves', ['task', 'body', 'process'])
def test_leaving_caller_cancels_the_execution(leaves):
    """Work for nobody occupies a slot of a fragile upstream."""
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
            network.stop_process(_NEAR)
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
    """A false "not run" makes a caller pay twice."""

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
                loop.call_later(0.5, network.stop_process, _FAR)
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
    """An answer to another call must never look like the own one."""

    async def peer(channel):
        first = await channel.receive()
        second = await channel.receive()
        for number in (second.call, first.call, second.call, 99):
            await channel.send(
                AnswerStart(number, 200, (), 0, b'%d' % number, True)
            )
            # The network keeps no order between messages sent at once.
            await asyncio.sleep(0.01)
            await channel.send(CallRefused(number, 'late', 'no', 0))
            await channel.send(AnswerBody(number, 0, b'late'))
        await channel.receive()

    async def scenario(client, network):
        answers = await asyncio.gather(
            client(_request(), WholeBody()), client(_request(), WholeBody())
        )
        return [one.unwrap().body.content for one in answers]

    assert _run(scenario, peer=peer) == [b'1', b'2']


@pytest.mark.parametrize(
    ('messages', 'expected'),
    [
        ((AnswerBody(1, 2, b'cd'), AnswerBody(1, 0, b'ab')) * 2, b'abcd'),
        ((AnswerBody(1, 0, b'ab'), AnswerBody(1, 3, b'd')), None),
        ((AnswerBody(1, 0, b'abc'), AnswerEnd(1, 3, False)), None),
        ((AnswerBody(1, _WINDOW, b'x'),), None),
        ((AnswerBody(1, -1, b'x'),), None),
    ],
)
def test_only_a_whole_answer_looks_whole(messages, expected):
    """Lost, repeated and excessive pieces must not alter an answer."""

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
            return b''.join([piece async for piece in answer.body])
        except BodyTruncated:
            return None

    assert _run(scenario, peer=peer) == expected


def test_cut_request_body_never_looks_whole():
    """A part of an order that is taken for the whole books a wrong one."""
    whole = []

    async def handler(request, body):
        whole.append(b''.join([piece async for piece in body]))
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
    assert whole == []


def test_peer_that_exceeds_its_credit_is_disconnected():
    """Without the check a faulty peer fills the memory."""

    async def peer(channel):
        await channel.receive()
        await channel.send(AnswerStart(1, 200, (), 0, b'', False))
        for index in range(5):
            await channel.send(AnswerBody(1, index * _PIECE, bytes(_PIECE)))
        await asyncio.sleep(0.1)
        await channel.send(AnswerEnd(1, 5 * _PIECE, True))
        await channel.receive()

    async def scenario(client, network):
        answer = (await client(_request(), WholeBody())).unwrap()
        await asyncio.sleep(0.5)
        received = 0
        with pytest.raises(BodyTruncated):
            async for content in answer.body:
                received += len(content)
        return received

    assert _run(scenario, peer=peer) <= _WINDOW


def test_repeated_start_runs_once():
    """A repeated message must not repeat a payment."""
    runs = []

    async def handler(request, body):
        runs.append(request.target)
        return Ok(Answer(200, (), WholeBody()))

    async def scenario(client, network):
        channel = await network.transport(_NEAR).dial(_FAR)
        await channel.send(_hello('near'))
        await asyncio.sleep(0.01)
        for number in (1, 3, 2, 3, 1, 2):
            start = CallStart(number, _request(f'/{number}'), b'', True)
            await channel.send(start)
            await asyncio.sleep(0.01)

    _run(scenario, handler)
    assert sorted(runs) == ['/1', '/2', '/3']


def test_gate_of_another_endpoint_gets_no_call():
    """The address of a dead VM may pass to the gate of another one."""

    async def handler(request, body):
        raise AssertionError

    async def scenario(client, network):
        request = _request()._replace(endpoint='other')
        return (await client(request, WholeBody())).unwrap_err()

    assert _run(scenario, handler) == Refusal('gate_unreachable', 'no')


def test_silent_connection_is_replaced():
    """A VM that vanished sends no reset, and TCP holds on for minutes."""

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
