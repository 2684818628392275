"""Tests of the client of the local upstream with faulty upstreams."""

import asyncio
import contextlib

import pytest
from result import Err, Ok

from wagtailline.calls import (
    Answer,
    BodyTruncated,
    CallRequest,
    Refusal,
    WholeBody,
)
from wagtailline.ports import Address
from wagtailline_daemon.upstream import UpstreamClient, UpstreamSettings

_OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
_LARGE = b'HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n'
_CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n'


class Upstream:
    """Sends the given bytes for each request and records what it received."""

    def __init__(self, answer, closes_after_answer=True):
        self.answer = answer
        self.closes_after_answer = closes_after_answer
        self.received = b''
        self.connections = 0
        self.ended = asyncio.Event()
        self.sent = 0

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            await self._answer_all(reader, writer)
        finally:
            self.ended.set()
            writer.close()

    async def _answer_all(self, reader, writer):
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                self.received += data
                if self.answer is not None:
                    await self._answer(writer)
                if self.closes_after_answer:
                    break

    async def _answer(self, writer):
        for index, piece in enumerate(self.answer):
            if index and len(piece) < 100:
                # Small pieces must arrive in separate reads.
                await asyncio.sleep(0.02)
            writer.write(piece)
            await writer.drain()
            self.sent += len(piece)


def _request(method='GET', target='/', headers=(), timeout_ms=60_000):
    headers = ((b'host', b'mesh'), *headers)
    return CallRequest(
        1, 's-0', 'r', 'studio', '', method, target, headers, timeout_ms, 2
    )


def _run(scenario, answer, connections=4, **kwargs):
    async def main():
        upstream = Upstream(answer, **kwargs)
        server = await asyncio.start_server(upstream.serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        address = Address('127.0.0.1', port)
        client = UpstreamClient(UpstreamSettings(address, connections))
        await client.start()
        async with asyncio.timeout(20):
            observed = await scenario(client, upstream)
        await client.stop()
        server.close()
        return observed, upstream

    return asyncio.run(main())


async def _get(client, upstream):
    outcome = await client(_request(), WholeBody())
    if isinstance(outcome, Err):
        return outcome.err_value
    try:
        return b''.join([piece async for piece in outcome.ok_value.body])
    except BodyTruncated:
        return 'cut'


@pytest.mark.parametrize(
    ('answer', 'expected'),
    [
        ((_OK,), b'ok'),
        ((b'HTTP/1.1 103 Early Hints\r\n\r\n' + _OK,), b'ok'),
        ((_CHUNKED, b'0\r\n\r\n'), b'abc'),
        ((_CHUNKED,), 'cut'),
        ((_CHUNKED, b'3\r\nabcd\r\n'), 'cut'),
        (
            (_CHUNKED + b'zz\r\n',),
            Refusal('upstream_malformed', 'unknown'),
        ),
        ((_LARGE, b'abc'), 'cut'),
        ((_OK[:-1],), Refusal('upstream_reset', 'unknown')),
        ((_OK[:20],), Refusal('upstream_reset', 'unknown')),
        ((), Refusal('upstream_reset', 'unknown')),
        ((b'SSH-2.0\r\n\r\n',), Refusal('upstream_malformed', 'unknown')),
        (
            (b'HTTP/1.1 200 OK\r\n\r\nto the end',),
            Refusal('upstream_malformed', 'unknown'),
        ),
    ],
)
def test_truncated_answer_never_looks_whole(answer, expected):
    """An answer that lost its end must not be passed on as complete."""
    observed, _ = _run(_get, answer)
    assert observed == expected


@pytest.mark.parametrize('status', ['000', '001', '099', '199', '600', '999'])
def test_number_that_is_no_status_is_refused_at_once(status):
    """A caller must not get it as a status, nor wait until its deadline."""
    answer = f'HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\nok'.encode()
    observed, _ = _run(_get, (answer,), closes_after_answer=False)
    assert observed == Refusal('upstream_malformed', 'unknown')


def test_call_without_a_listener_did_not_run():
    """A call that could not connect is safe to repeat and must say so."""

    async def scenario(client, upstream):
        unreachable = UpstreamClient(
            UpstreamSettings(Address('127.0.0.1', 1), 4)
        )
        await unreachable.start()
        outcome = await unreachable(_request(), WholeBody())
        await unreachable.stop()
        return outcome.unwrap_err()

    observed, _ = _run(scenario, (_OK,))
    assert observed == Refusal('upstream_unreachable', 'no')


def test_deadline_tells_whether_the_call_was_sent():
    """A call that only waited for a connection is known not to have run."""

    async def scenario(client, upstream):
        calls = (
            client(_request(timeout_ms=300), WholeBody()),
            client(_request(timeout_ms=100), WholeBody()),
        )
        return [
            outcome.unwrap_err() for outcome in await asyncio.gather(*calls)
        ]

    observed, _ = _run(scenario, None, connections=1, closes_after_answer=False)
    assert observed == [
        Refusal('deadline', 'unknown'),
        Refusal('deadline', 'no'),
    ]


def test_call_is_sent_once_when_a_kept_connection_ends():
    """aiohttp's ClientSession would itself retry an idempotent call."""

    async def scenario(client, upstream):
        (await client(_request(), WholeBody())).unwrap()
        upstream.answer, upstream.closes_after_answer = (), True
        return await _get(client, upstream)

    observed, upstream = _run(scenario, (_OK,), closes_after_answer=False)
    assert observed == Refusal('upstream_reset', 'unknown')
    assert upstream.received.count(b'GET / ') == 2
    assert upstream.connections == 1


@pytest.mark.parametrize('headers', [(), ((b'content-length', b'9'),)])
def test_truncated_request_body_looks_truncated_to_the_upstream(headers):
    """An upstream that takes a part for the whole runs a wrong request."""

    async def body():
        yield b'abc'
        raise BodyTruncated

    async def scenario(client, upstream):
        outcome = await client(_request('POST', headers=headers), body())
        await upstream.ended.wait()
        return outcome.unwrap_err()

    observed, upstream = _run(scenario, None, closes_after_answer=False)
    assert observed == Refusal('body_truncated', 'unknown')
    _, _, sent = upstream.received.partition(b'\r\n\r\n')
    assert sent == (b'abc' if headers else b'3\r\nabc\r\n')


def test_short_request_body_is_not_passed_as_whole():
    """The upstream would read the missing bytes from the next request."""

    async def body():
        yield b'abc'

    async def scenario(client, upstream):
        request = _request('POST', headers=((b'content-length', b'9'),))
        return (await client(request, body())).unwrap_err()

    observed, _ = _run(scenario, None, closes_after_answer=False)
    assert observed == Refusal('body_truncated', 'unknown')


def test_cancelled_call_ends_its_connection():
    """Only the end of the connection tells the upstream to stop."""

    async def scenario(client, upstream):
        task = asyncio.ensure_future(client(_request(), WholeBody()))
        await asyncio.sleep(0.1)
        task.cancel()
        await upstream.ended.wait()

    _run(scenario, None, closes_after_answer=False)


def test_abandoned_answer_ends_its_connection():
    """The next call on the connection would read the rest of the answer."""

    async def scenario(client, upstream):
        answer = (await client(_request(), WholeBody())).unwrap()
        await answer.body.aclose()
        upstream.answer = (_OK,)
        return await _get(client, upstream)

    observed, upstream = _run(
        scenario, (_LARGE, b'abc'), closes_after_answer=False
    )
    assert observed == b'ok'
    assert upstream.connections == 2


def test_slow_reader_stops_the_upstream():
    """Without backpressure, an answer of 200 MB would be held in memory."""
    large = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % (200 << 20)
    answer = (large, *[bytes(1 << 20)] * 200)

    async def scenario(client, upstream):
        answer = (await client(_request(), WholeBody())).unwrap()
        await asyncio.sleep(0.5)
        sent_ahead = upstream.sent
        received = 0
        async for piece in answer.body:
            received += len(piece)
        return sent_ahead, received

    (sent_ahead, received), _ = _run(
        scenario, answer, closes_after_answer=False
    )
    # Socket buffers of the kernel hold a few megabytes.
    assert sent_ahead < 32 << 20
    assert received == 200 << 20


@pytest.mark.parametrize(
    'change',
    [
        {'target': '/ HTTP/1.1\r\nX: '},
        {'target': '/a b'},
        {'method': 'GET /x'},
        {'headers': ((b'x', b'1\r\nY: 2'),)},
        {'headers': ((b'x\n', b'1'),)},
        {'headers': ((b'transfer-encoding', b'chunked'),)},
    ],
)
def test_malformed_call_makes_no_second_request(change):
    """The fields of a call from a faulty peer must form a single request."""

    async def scenario(client, upstream):
        return await client(_request(**change), WholeBody())

    observed, upstream = _run(scenario, (_OK,))
    assert observed == Err(Refusal('malformed_call', 'no'))
    assert upstream.received == b''


def test_head_names_account_depth_and_time_left():
    """Nested calls need the depth and the remaining time of their caller."""

    async def scenario(client, upstream):
        headers = ((b'x-a', b'\xc3\xa9'), (b'content-length', b'3'))
        request = _request('POST', '/p?a=%20&b', headers)
        return await client(request, WholeBody(b'abc'))

    observed, upstream = _run(scenario, (_OK,))
    assert isinstance(observed, Ok)
    assert isinstance(observed.ok_value, Answer)
    assert upstream.received == (
        b'POST /p?a=%20&b HTTP/1.1\r\nwagtailline-timeout-ms: 60000\r\n'
        b'wagtailline-depth: 3\r\nwagtailline-client-account: studio\r\n'
        b'host: mesh\r\nx-a: \xc3\xa9\r\ncontent-length: 3\r\n\r\nabc'
    )


async def test_body_without_end_is_truncated_at_the_deadline():
    """Guards against an upstream whose body keeps a call running for ever."""
    endless = Upstream([_CHUNKED, *[b'3\r\nabc\r\n' * 100] * 100_000])
    server = await asyncio.start_server(endless.serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    client = UpstreamClient(
        UpstreamSettings(Address('127.0.0.1', port), connections=1)
    )
    await client.start()
    async with asyncio.timeout(10):
        outcome = await client(_request(timeout_ms=300), WholeBody())
        with pytest.raises(BodyTruncated):
            async for _ in outcome.ok_value.body:
                await asyncio.sleep(0)
        await endless.ended.wait()
    await client.stop()
    server.close()
