"""The client side of HTTP connections, against scripted servers."""

import asyncio

import pytest
from _peers import read_head, serve_script

from wagtailline.calls import BodyTruncated, WholeBody
from wagtailline.ports import Address
from wagtailline_sidecar.client_connection import (
    MAX_WHOLE_BYTES,
    AnswerMalformed,
    AnswerMissing,
    ClientRequest,
    ConnectionFailed,
    open_connection,
)

ID = (b'x-id', b'own')
REQUEST = ClientRequest('GET', '/', ((b'host', b'a'), ID), ID)
WHOLE = b'HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 5\r\n\r\nhello'


async def exchange(*answers: bytes, close: bool = False, request=REQUEST):
    """Send a request to a server that writes the answers."""

    async def script(reader, writer):
        await read_head(reader)
        for answer in answers:
            writer.write(answer)
            await asyncio.sleep(0.01)
        if close:
            writer.close()
        else:
            await reader.read()

    server, address = await serve_script(script)
    connection = await open_connection(address, 1)
    try:
        async with asyncio.timeout(5):
            return connection, await connection.exchange(request, WholeBody())
    finally:
        server.close()


async def test_answer_by_length():
    """Guards against an answer that is not the server's whole body."""
    connection, answer = await exchange(WHOLE)
    assert (answer.status, answer.body.content) == (200, b'hello')
    assert connection.is_reusable


async def test_answer_in_chunks_and_in_pieces():
    """Guards against chunk framing that reaches the body."""
    head = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    _, answer = await exchange(head, b'2\r\nhe\r\n3\r', b'\nllo\r\n0\r\n\r\n')
    assert answer.body.content == b'hello'


async def test_answer_that_ends_with_its_connection():
    """Guards against refusing answers without a length."""
    head = b'HTTP/1.1 200 OK\r\nX-Id: own\r\n\r\n'
    connection, answer = await exchange(head, b'hello', close=True)
    assert answer.body.content == b'hello'
    assert not connection.is_reusable


@pytest.mark.parametrize(
    'cut', [b'', b'HTTP/1.1 200 OK\r\nContent-Le', WHOLE[:-2]]
)
async def test_cut_answer_is_missing(cut):
    """Guards against an answer that ended early and looks complete."""
    with pytest.raises(AnswerMissing):
        await exchange(cut, close=True)


async def test_bytes_that_are_no_answer():
    """Guards against garbled bytes that are passed on."""
    with pytest.raises(AnswerMalformed):
        await exchange(b'\x00\x01garbage\r\n\r\n')


async def test_late_answer_of_another_request_is_skipped():
    """Guards against an answer that belongs to another request."""
    late = WHOLE.replace(b'own', b'old').replace(b'hello', b'wrong')
    connection, answer = await exchange(late, WHOLE)
    assert answer.body.content == b'hello'
    assert not connection.is_reusable


async def test_extra_answer_ends_the_connection():
    """Guards against extra bytes that answer the next request."""
    connection, answer = await exchange(WHOLE, WHOLE)
    assert answer.body.content == b'hello'
    await asyncio.sleep(0.05)
    assert not connection.is_reusable


async def test_informational_answer_is_not_the_answer():
    """Guards against a 100 that is taken for the final answer."""
    _, answer = await exchange(b'HTTP/1.1 100 Continue\r\n\r\n', WHOLE)
    assert answer.status == 200


async def test_close_in_the_answer_is_respected():
    """Guards against a request on a connection that is about to end."""
    closing = WHOLE.replace(b'X-Id', b'Connection: close\r\nX-Id')
    connection, _ = await exchange(closing)
    assert not connection.is_reusable


async def test_large_answer_is_streamed_and_a_cut_shows():
    """Guards against large answers that fill the memory or look whole."""
    size = MAX_WHOLE_BYTES * 3
    head = b'HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: %d\r\n\r\n' % size

    async def script(reader, writer):
        await read_head(reader)
        writer.write(head + b'x' * (size - 1))
        await writer.drain()
        writer.close()

    server, address = await serve_script(script)
    connection = await open_connection(address, 1)
    answer = await connection.exchange(REQUEST, WholeBody())
    received = 0
    with pytest.raises(BodyTruncated):
        async for piece in answer.body:
            received += len(piece)
    assert 0 < received < size
    server.close()


async def test_early_answer_to_a_long_body_ends_the_connection():
    """Guards against the rest of a body that is read as a request."""

    async def body():
        yield b'part'
        await asyncio.sleep(30)

    async def script(reader, writer):
        await read_head(reader)
        writer.write(WHOLE)
        await reader.read()

    server, address = await serve_script(script)
    connection = await open_connection(address, 1)
    async with asyncio.timeout(5):
        answer = await connection.exchange(REQUEST, body())
    assert answer.status == 200
    assert not connection.is_reusable
    server.close()


async def test_no_connection_means_not_sent():
    """Guards against a refused connection that counts as maybe run."""
    server, address = await serve_script(None)
    server.close()
    await server.wait_closed()
    with pytest.raises(ConnectionFailed):
        await open_connection(Address(*address), 0.5)
