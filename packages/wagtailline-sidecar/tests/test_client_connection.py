"""Tests of the client side of HTTP connections with scripted servers."""

import asyncio
import contextlib

import pytest
from _peers import read_head, send_endlessly, serve_script

from wagtailline.calls import BodyTruncated, WholeBody
from wagtailline.ports import Address
from wagtailline_sidecar.client_connection import (
    MAX_BUFFERED_BYTES,
    AnswerMalformed,
    AnswerMissing,
    ClientRequest,
    ConnectionFailed,
    open_connection,
)

ID = (b'x-id', b'own')
REQUEST = ClientRequest('GET', '/', ((b'host', b'a'), ID), ID)
WHOLE = b'HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 5\r\n\r\nhello'

PART = b'x' * 65_536
# No test here is about the time that a connection takes to open.
CONNECT_SECONDS = 30.0
UPLOAD_PARTS = 1024
WHOLE_100 = b'HTTP/1.1 100 Continue\r\n\r\n'


async def exchange(*responses: bytes, close: bool = False, request=REQUEST):
    """Send a request to a server that writes the given responses."""

    async def script(reader, writer):
        await read_head(reader)
        for response in responses:
            writer.write(response)
            await asyncio.sleep(0.01)
        if close:
            writer.close()
        else:
            await reader.read()

    server, address = await serve_script(script)
    connection = await open_connection(address, CONNECT_SECONDS)
    try:
        async with asyncio.timeout(5):
            return connection, await connection.exchange(request, WholeBody())
    finally:
        server.close()


async def test_response_with_content_length():
    """Guards against a response body that differs from the server's."""
    connection, response = await exchange(WHOLE)
    assert (response.status, response.body.content) == (200, b'hello')
    assert connection.is_reusable


async def test_chunked_response_in_several_reads():
    """Guards against chunk framing that ends up in the body.

    The chunk headers are split between reads.
    """
    head = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    _, response = await exchange(head, b'2\r\nhe\r\n3\r', b'\nllo\r\n0\r\n\r\n')
    assert response.body.content == b'hello'


async def test_response_delimited_by_the_end_of_its_connection():
    """Guards against the rejection of responses without a length."""
    head = b'HTTP/1.1 200 OK\r\nX-Id: own\r\n\r\n'
    connection, response = await exchange(head, b'hello', close=True)
    assert response.body.content == b'hello'
    assert not connection.is_reusable


@pytest.mark.parametrize(
    'received', [b'', b'HTTP/1.1 200 OK\r\nContent-Le', WHOLE[:-2]]
)
async def test_truncated_response_raises_answer_missing(received):
    """Guards against a truncated response treated as complete."""
    with pytest.raises(AnswerMissing):
        await exchange(received, close=True)


@pytest.mark.parametrize(
    'framing',
    [b'Content-Length: 5\r\n', b'Transfer-Encoding: chunked\r\n', b''],
)
async def test_response_that_ends_within_its_head_is_missing(framing):
    """Guards against a cut head that is taken for a whole response.

    Clients got a success with an empty body.
    """
    head = b'HTTP/1.1 200 OK\r\nX-Id: own\r\n' + framing + b'\r\n'
    for length in range(len(head)):
        with pytest.raises(AnswerMissing):
            await exchange(WHOLE_100 + head[:length], close=True)


async def test_connection_with_an_unidentified_response_is_not_reused():
    """Guards against an earlier refusal taken for the next response.

    A faulty upstream writes a response once more. A copy that doesn't name
    its request can't be told from the response to the next one.
    """
    refusal = b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n'
    connection, response = await exchange(refusal)
    assert response.status == 503
    assert not connection.is_reusable


async def test_invalid_bytes_raise_answer_malformed():
    """Guards against invalid bytes returned as a response."""
    with pytest.raises(AnswerMalformed):
        await exchange(b'\x00\x01garbage\r\n\r\n')


async def test_late_response_to_another_request_is_skipped():
    """Guards against a response matched to the wrong request.

    A late response to an earlier request arrives first.
    """
    late_response = WHOLE.replace(b'own', b'old').replace(b'hello', b'wrong')
    connection, response = await exchange(late_response, WHOLE)
    assert response.body.content == b'hello'
    assert not connection.is_reusable


async def test_extra_response_closes_the_connection():
    """Guards against surplus bytes read as the next response."""
    connection, response = await exchange(WHOLE, WHOLE)
    assert response.body.content == b'hello'
    await asyncio.sleep(0.05)
    assert not connection.is_reusable


async def test_informational_response_is_not_final():
    """Guards against status 100 returned as the final response."""
    _, response = await exchange(b'HTTP/1.1 100 Continue\r\n\r\n', WHOLE)
    assert response.status == 200


async def test_connection_close_in_the_response_is_respected():
    """Guards against reuse of a connection that the server will close."""
    closing_response = WHOLE.replace(b'X-Id', b'Connection: close\r\nX-Id')
    connection, _ = await exchange(closing_response)
    assert not connection.is_reusable


async def test_large_response_is_streamed_and_truncation_raises():
    """Guards against large responses that fill memory or hide truncation."""
    size = MAX_BUFFERED_BYTES * 3
    head = b'HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: %d\r\n\r\n' % size

    async def script(reader, writer):
        await read_head(reader)
        writer.write(head + b'x' * (size - 1))
        await writer.drain()
        writer.close()

    server, address = await serve_script(script)
    connection = await open_connection(address, CONNECT_SECONDS)
    response = await connection.exchange(REQUEST, WholeBody())
    received_bytes = 0
    with pytest.raises(BodyTruncated):
        async for chunk in response.body:
            received_bytes += len(chunk)
    assert 0 < received_bytes < size
    server.close()


async def test_early_response_to_a_long_body_closes_the_connection():
    """Guards against the rest of a body that the server reads as a request."""

    async def body():
        yield b'part'
        await asyncio.sleep(30)

    async def script(reader, writer):
        await read_head(reader)
        writer.write(WHOLE)
        await reader.read()

    server, address = await serve_script(script)
    connection = await open_connection(address, CONNECT_SECONDS)
    async with asyncio.timeout(5):
        response = await connection.exchange(REQUEST, body())
    assert response.status == 200
    assert not connection.is_reusable
    server.close()


async def test_refused_connection_raises_connection_failed():
    """Guards against a refused connection reported as possibly executed."""
    server, address = await serve_script(None)
    server.close()
    await server.wait_closed()
    with pytest.raises(ConnectionFailed):
        await open_connection(Address(*address), 0.5)


CHUNKED = b'HTTP/1.1 200 OK\r\nX-Id: own\r\nTransfer-Encoding: chunked\r\n\r\n'


@pytest.mark.parametrize(
    ('head', 'part'),
    [
        (b'', b'x' * 1000),
        (b'HTTP/1.1 200 ', b'x' * 1000),
        (b'HTTP/1.1 200 OK\r\nX-Long: ', b'x' * 1000),
        (b'HTTP/1.1 200 OK\r\n', b'X-More: more\r\n' * 50),
        (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 50),
        (b'HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n', b'x' * 1000),
        (CHUNKED + b'5', b';x' * 500),
        (CHUNKED + b'5\r\nhello\r\n0\r\n', b'X-More: more\r\n' * 50),
    ],
)
async def test_bytes_without_end_that_are_no_answer_fail(head, part):
    """Guards against memory and time spent on a server that never answers."""
    script, closed = send_endlessly(part, head)
    server, address = await serve_script(script)
    connection = await open_connection(address, CONNECT_SECONDS)
    async with asyncio.timeout(5):
        with pytest.raises(AnswerMalformed):
            await connection.exchange(REQUEST, WholeBody())
        connection.close()
        await closed.wait()
    assert not connection.is_reusable
    server.close()


async def test_body_without_end_is_truncated_at_its_time_limit():
    """Guards against a body that is passed on until the client gives up."""
    script, closed = send_endlessly(b'x' * 1000, b'HTTP/1.1 200 OK\r\n\r\n')
    server, address = await serve_script(script)
    connection = await open_connection(address, CONNECT_SECONDS)
    response = await connection.exchange(REQUEST, WholeBody())
    response.body.set_end(asyncio.get_running_loop().time() + 0.1)
    async with asyncio.timeout(5):
        with pytest.raises(BodyTruncated):
            async for _ in response.body:
                await asyncio.sleep(0)
        await closed.wait()
    server.close()


async def test_unread_body_holds_a_bounded_part_and_closes():
    """Guards against a body without end that fills the memory unread."""
    script, closed = send_endlessly(b'x' * 1000, b'HTTP/1.1 200 OK\r\n\r\n')
    server, address = await serve_script(script)
    connection = await open_connection(address, CONNECT_SECONDS)
    response = await connection.exchange(REQUEST, WholeBody())
    await asyncio.sleep(0.3)
    assert len(connection._buffer) < 4 * MAX_BUFFERED_BYTES
    await response.body.aclose()
    async with asyncio.timeout(5):
        await closed.wait()
    server.close()


async def test_upload_to_a_slow_server_holds_a_bounded_part():
    """Guards against uploads that fill the memory of the daemon.

    The connection took the whole body, however slowly the server read it.
    """
    taken_bytes = 0

    async def upload():
        nonlocal taken_bytes
        for _ in range(UPLOAD_PARTS):
            taken_bytes += len(PART)
            yield PART

    async def script(reader, writer):
        await asyncio.sleep(5)

    server, address = await serve_script(script)
    connection = await open_connection(address, CONNECT_SECONDS)
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.5):
            await connection.exchange(REQUEST, upload())
    assert taken_bytes < UPLOAD_PARTS * len(PART) / 4
    connection.close()
    server.close()


async def test_upload_to_a_server_that_reads_slowly_arrives_whole():
    """Guards against an upload that waits for a server without end."""
    received = asyncio.get_running_loop().create_future()

    async def upload():
        for _ in range(64):
            yield PART

    async def script(reader, writer):
        await read_head(reader)
        size_bytes = 0
        while True:
            line = await reader.readline()
            length = int(line, 16)
            await reader.readexactly(length + 2)
            size_bytes += length
            await asyncio.sleep(0.001)
            if not length:
                break
        received.set_result(size_bytes)
        writer.write(WHOLE)

    server, address = await serve_script(script)
    connection = await open_connection(address, CONNECT_SECONDS)
    async with asyncio.timeout(10):
        await connection.exchange(REQUEST, upload())
        assert await received == 64 * len(PART)
    connection.close()
    server.close()


async def test_connection_is_not_used_again_after_a_head_request():
    """Guards against a response that is taken for the body of another."""
    head_request = REQUEST._replace(method='HEAD')
    connection, response = await exchange(
        b'HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 5\r\n\r\n',
        request=head_request,
    )
    assert response.status == 200
    assert not connection.is_reusable


async def test_connection_is_closed_after_an_early_response():
    """Guards against connections that nobody closes nor uses again.

    Each upload that was answered early kept a descriptor for good.
    """
    closed = asyncio.Event()

    async def body():
        yield b'part'
        await asyncio.sleep(30)

    async def script(reader, writer):
        await read_head(reader)
        writer.write(WHOLE)
        with contextlib.suppress(ConnectionError):
            await reader.read()
        closed.set()

    server, address = await serve_script(script)
    connection = await open_connection(address, CONNECT_SECONDS)
    async with asyncio.timeout(5):
        await connection.exchange(REQUEST, body())
        await closed.wait()
    server.close()
