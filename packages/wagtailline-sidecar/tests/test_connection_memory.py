"""Tests of the memory that responses on client connections hold."""

import asyncio

import pytest
from _peers import read_head, send_endlessly, serve_script
from test_client_connection import (
    CHUNKED,
    CONNECT_SECONDS,
    REQUEST,
    exchange,
)

from wagtailline.calls import BodyTruncated, WholeBody
from wagtailline_sidecar.body_memory import (
    LIMIT_BYTES,
    BodyMemory,
    Holding,
)
from wagtailline_sidecar.client_connection import (
    AnswerMalformed,
    open_connection,
)
from wagtailline_sidecar.clock import BootClock


def short_memory(size_bytes: int) -> BodyMemory:
    """Return a memory in which so many bytes are left."""
    memory = BodyMemory(BootClock(), LIMIT_BYTES)
    Holding(memory).resize(LIMIT_BYTES - size_bytes)
    return memory


@pytest.mark.parametrize(
    'part', [b'1\r\nx\r\n' * 1000, b'3e8\r\n' + b'x' * 1000 + b'\r\n']
)
async def test_bodies_without_end_share_one_memory(part):
    """Guards against memory that grows with the number of connections."""
    script, _ = send_endlessly(part, CHUNKED)
    server, address = await serve_script(script)
    memory = BodyMemory(BootClock(), LIMIT_BYTES)
    responses = []
    for _ in range(15):
        connection = await open_connection(address, CONNECT_SECONDS)
        connection.memory = memory
        responses.append(await connection.exchange(REQUEST, WholeBody()))
    await asyncio.sleep(0.3)
    assert LIMIT_BYTES / 4 < memory.held_bytes <= LIMIT_BYTES
    for response in responses:
        await response.body.aclose()
    assert not memory.held_bytes
    server.close()


@pytest.mark.parametrize('framing', [b'', b'Content-Length: 9999999\r\n'])
async def test_body_that_is_cut_does_not_look_complete(framing):
    """Guards against a part of a body that is taken for the whole."""
    head = b'HTTP/1.1 200 OK\r\nX-Id: own\r\n' + framing + b'\r\n'
    script, closed = send_endlessly(b'x' * 1000, head)
    server, address = await serve_script(script)
    memory = BodyMemory(BootClock(), LIMIT_BYTES)
    connection = await open_connection(address, CONNECT_SECONDS)
    connection.memory = memory
    response = await connection.exchange(REQUEST, WholeBody())
    Holding(memory).resize(LIMIT_BYTES)
    with pytest.raises(BodyTruncated):
        async for _ in response.body:
            await asyncio.sleep(0)
    async with asyncio.timeout(5):
        await closed.wait()
    server.close()


async def test_connection_is_used_again_after_a_whole_body_in_little_memory():
    """Guards against a connection that is never read again."""
    size = 60_000
    head = b'HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: %d\r\n\r\n' % size

    async def script(reader, writer):
        for _ in range(2):
            await read_head(reader)
            writer.write(head + b'x' * size)
        await reader.read()

    server, address = await serve_script(script)
    connection = await open_connection(address, CONNECT_SECONDS)
    connection.memory = short_memory(200_000)
    async with asyncio.timeout(5):
        for _ in range(2):
            response = await connection.exchange(REQUEST, WholeBody())
            parts = [part async for part in response.body]
            assert len(b''.join(parts)) == size
    connection.close()
    server.close()


@pytest.mark.parametrize('header', [b'a:\r\n', b'X-Name: value\r\n'])
async def test_head_of_many_headers_fails(header):
    """Guards against headers whose objects take more than their bytes."""
    head = b'HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 0\r\n'
    with pytest.raises(AnswerMalformed):
        await exchange(head + header * 1000 + b'\r\n')
