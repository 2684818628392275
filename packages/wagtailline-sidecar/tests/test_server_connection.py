"""The server side of HTTP connections, over loopback."""

import asyncio

import pytest
from _peers import connect, listen

from wagtailline.calls import BodyTruncated
from wagtailline_sidecar.model import IngressLimits


async def echo(request, exchange):
    body = b''.join([piece async for piece in request.body])
    content = f'{request.method} {request.target} '.encode() + body
    await exchange.respond(200, ((b'x-echo', b'1'),), content)


def get(target: str, *headers: str) -> bytes:
    rows = ''.join(f'{row}\r\n' for row in ('Host: a', *headers))
    return f'GET {target} HTTP/1.1\r\n{rows}\r\n'.encode()


async def test_answers_come_in_the_order_of_the_requests():
    """Guards against answers that reach the request behind their own."""

    async def answer(request, exchange):
        await asyncio.sleep(0.05 if request.target == '/slow' else 0)
        await exchange.respond(200, (), request.target.encode())

    listener, port = await listen(answer)
    client = await connect(port)
    client.send(get('/slow') + get('/fast') + get('/last'))
    bodies = [(await client.read_answer())[2] for _ in range(3)]
    assert bodies == [b'/slow', b'/fast', b'/last']
    await listener.stop()


async def test_pipelined_safe_requests_run_at_once():
    """Guards against a slow request that holds up those behind it."""
    together = asyncio.Barrier(3)

    async def answer(request, exchange):
        await together.wait()
        await exchange.respond(200, (), b'')

    listener, port = await listen(answer)
    client = await connect(port)
    client.send(get('/1') + get('/2') + get('/3'))
    for _ in range(3):
        assert (await client.read_answer())[0] == 200
    await listener.stop()


async def test_unsafe_request_waits_for_those_before_it():
    """Guards against a request that runs behind an answer that closes."""
    order = []

    async def answer(request, exchange):
        order.append(f'start {request.target}')
        await asyncio.sleep(0.02)
        order.append(f'end {request.target}')
        await exchange.respond(200, (), b'')

    listener, port = await listen(answer)
    client = await connect(port)
    post = b'POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n'
    client.send(get('/1') + post)
    for _ in range(2):
        await client.read_answer()
    assert order == ['start /1', 'end /1', 'start /2', 'end /2']
    await listener.stop()


@pytest.mark.parametrize(
    'framing',
    [
        b'Content-Length: 5\r\n\r\nhello',
        b'Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n',
    ],
)
async def test_bodies_by_length_and_in_chunks(framing):
    """Guards against bodies that are changed on the way."""
    listener, port = await listen(echo)
    client = await connect(port)
    client.send(b'POST /x HTTP/1.1\r\nHost: a\r\n' + framing)
    assert (await client.read_answer())[2] == b'POST /x hello'
    await listener.stop()


@pytest.mark.parametrize(
    ('sent', 'status'),
    [
        (b'GET / HTTP/1.1\r\n\r\n', 400),
        (b'GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n', 400),
        (b'nonsense\r\n\r\n', 400),
        (b'GET / HTTP/1.0\r\nHost: a\r\n\r\n', 505),
        (b'GET / HTTP/1.1\r\nHost: a\r\nX: ' + b'y' * 3000, 431),
        (b'GET /' + b'y' * 3000, 431),
        (
            b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9999\r\n\r\n',
            413,
        ),
    ],
)
async def test_what_is_no_request_is_refused(sent, status):
    """Guards against malformed or large heads that reach an upstream."""
    reached = []

    async def answer(request, exchange):
        reached.append(request)
        await exchange.respond(200, (), b'')

    limits = IngressLimits(head_bytes=2000, body_bytes=5000)
    listener, port = await listen(answer, limits)
    client = await connect(port)
    client.send(sent)
    assert (await client.read_answer())[0] == status
    assert await client.read_rest() == b''
    assert not reached
    await listener.stop()


async def test_large_head_that_arrives_in_one_read_is_refused():
    """Guards against a count of head bytes that is reset too early."""
    reached = []

    async def answer(request, exchange):
        reached.append(request)
        await exchange.respond(200, (), b'')

    listener, port = await listen(answer, IngressLimits(head_bytes=16_384))
    client = await connect(port)
    client.send(
        get('/', *(f'X-{number}: {"y" * 1000}' for number in range(20)))
    )
    assert (await client.read_answer())[0] == 431
    assert not reached
    await listener.stop()


async def test_client_that_leaves_cancels_its_request():
    """Guards against work for a client that is gone."""
    cancelled = asyncio.Event()

    async def answer(request, exchange):
        try:
            await asyncio.sleep(30)
        except asyncio.CancelledError:
            cancelled.set()
            raise

    listener, port = await listen(answer)
    client = await connect(port)
    client.send(get('/'))
    await asyncio.sleep(0.05)
    client.close()
    async with asyncio.timeout(2):
        await cancelled.wait()
    await listener.stop()


async def test_cut_body_is_not_whole():
    """Guards against a cut request that is passed on as complete."""
    outcome = asyncio.get_running_loop().create_future()

    async def answer(request, exchange):
        try:
            async for _ in request.body:
                continue
        except (BodyTruncated, asyncio.CancelledError) as error:
            outcome.set_result(type(error))
            raise

    listener, port = await listen(answer)
    client = await connect(port)
    client.send(b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhalf')
    await asyncio.sleep(0.05)
    client.close()
    async with asyncio.timeout(2):
        assert await outcome in (BodyTruncated, asyncio.CancelledError)
    await listener.stop()


async def test_cut_answer_does_not_look_whole():
    """Guards against a broken answer that ends like a complete one."""

    async def cut():
        yield b'first'
        raise BodyTruncated

    async def answer(request, exchange):
        await exchange.stream(200, (), cut())

    listener, port = await listen(answer)
    client = await connect(port)
    client.send(get('/'))
    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        received = await client.read_rest()
        assert not received.endswith(b'0\r\n\r\n')
        raise ConnectionError
    await listener.stop()


async def test_idle_connection_is_closed():
    """Guards against connections that are held for ever."""
    limits = IngressLimits(idle_timeout_seconds=0.05)
    listener, port = await listen(echo, limits)
    client = await connect(port)
    client.send(get('/'))
    await client.read_answer()
    assert await client.read_rest() == b''
    await listener.stop()


async def test_slow_head_is_answered_408():
    """Guards against clients that hold connections with half a head."""
    limits = IngressLimits(head_timeout_seconds=0.05)
    listener, port = await listen(echo, limits)
    client = await connect(port)
    client.send(b'GET / HTTP/1.1\r\nHos')
    assert (await client.read_answer())[0] == 408
    await listener.stop()


async def test_planned_stop_answers_what_was_read_and_closes():
    """Guards against a stop that cuts a request in progress."""

    async def answer(request, exchange):
        await asyncio.sleep(0.1)
        await exchange.respond(200, (), b'done')

    listener, port = await listen(answer)
    client = await connect(port)
    client.send(get('/'))
    await asyncio.sleep(0.03)
    listener.finish()
    await listener.stop()
    status, headers, body = await client.read_answer()
    assert (status, body) == (200, b'done')
    assert headers['connection'] == 'close'
    assert await client.read_rest() == b''


async def test_planned_stop_answers_pipelined_requests_that_have_started():
    """Guards against a stop that drops requests behind the first answer.

    Found by the day file calm-with-every-change on Fjordpenn: the first
    answer closed the connection while an endpoint worked on the second.
    """

    async def answer(request, exchange):
        await asyncio.sleep(0.05 if request.target == '/1' else 0.15)
        await exchange.respond(200, (), request.target.encode())

    listener, port = await listen(answer)
    client = await connect(port)
    client.send(get('/1') + get('/2') + get('/3'))
    await asyncio.sleep(0.02)
    listener.finish()
    await listener.stop()
    answers = [await client.read_answer() for _ in range(3)]
    assert [body for _, _, body in answers] == [b'/1', b'/2', b'/3']
    closings = [headers.get('connection') for _, headers, _ in answers]
    assert closings == [None, None, 'close']


async def test_fault_of_a_handler_is_reported_and_answered():
    """Guards against a fault that cuts a request without a log line.

    Found by the day file calm-with-every-change on Fjordpenn: the wait for
    an account without a share was infinite, and the connection was cut.
    """

    async def answer(request, exchange):
        raise OverflowError

    errors: list[Exception] = []
    listener, port = await listen(answer, errors=errors)
    client = await connect(port)
    client.send(get('/1'))
    assert (await client.read_answer())[0] == 500
    assert [type(error) for error in errors] == [OverflowError]
    await listener.stop()


async def test_planned_stop_takes_no_more_from_a_busy_connection():
    """Guards against a pipeline that goes on until the process ends.

    Found by the hunt on Fjordpenn (day file calm-with-every-change, seeds
    191268615154 and 1096510486150): a request that came 3.7 s after SIGTERM
    behind others was taken, and cut when the time to stop was over.
    """
    taken = []

    async def answer(request, exchange):
        taken.append(request.target)
        await asyncio.sleep(0.2)
        await exchange.respond(200, (), request.target.encode())

    listener, port = await listen(answer)
    client = await connect(port)
    client.send(get('/1') + get('/2'))
    await asyncio.sleep(0.05)
    listener.finish()
    client.send(get('/3'))
    await asyncio.sleep(0.05)
    listener.close_idle()
    client.send(get('/4'))
    answers = [await client.read_answer() for _ in range(3)]
    assert [body for _, _, body in answers] == [b'/1', b'/2', b'/3']
    assert answers[-1][1]['connection'] == 'close'
    assert await client.read_rest() == b''
    assert taken == ['/1', '/2', '/3']
    await listener.stop()


async def test_unsafe_request_that_waits_is_answered_in_a_planned_stop():
    """Guards against a request that was read and never started."""

    async def answer(request, exchange):
        await asyncio.sleep(0.1)
        await exchange.respond(200, (), request.target.encode())

    listener, port = await listen(answer)
    client = await connect(port)
    post = b'POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n'
    client.send(get('/1') + post)
    await asyncio.sleep(0.03)
    listener.finish()
    listener.close_idle()
    client.send(get('/3'))
    bodies = [(await client.read_answer())[2] for _ in range(2)]
    assert bodies == [b'/1', b'/2']
    assert await client.read_rest() == b''
    await listener.stop()


async def test_answer_before_the_whole_body_closes_the_connection():
    """Guards against the rest of a body that is taken for a request."""

    async def answer(request, exchange):
        await exchange.respond(200, (), b'early')

    listener, port = await listen(answer)
    client = await connect(port)
    client.send(b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 50\r\n\r\nx')
    _, headers, body = await client.read_answer()
    assert body == b'early'
    assert headers['connection'] == 'close'
    await listener.stop()
