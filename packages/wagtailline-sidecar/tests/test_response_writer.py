"""Tests of responses to clients that read slowly."""

import asyncio

import pytest
from _peers import HOST, connect, get

from wagtailline.ports import Address
from wagtailline_sidecar.body_memory import (
    LIMIT_BYTES,
    BodyMemory,
    Holding,
)
from wagtailline_sidecar.clock import BootClock
from wagtailline_sidecar.http_listener import HttpListener
from wagtailline_sidecar.listener_resources import make_unlimited_resources

# More than the buffers of the system hold.
CONTENT = bytes(16 * 1024 * 1024)


async def start(memory: BodyMemory) -> tuple[HttpListener, int]:
    async def handle(request, exchange) -> None:
        await exchange.respond(200, (), CONTENT)

    resources = make_unlimited_resources()._replace(body_memory=memory)
    listener = HttpListener(
        Address(HOST, 0), handler=handle, on_error=print, resources=resources
    )
    await listener.start()
    return listener, listener.address.port


async def test_answer_to_a_slow_client_is_held_in_part_and_arrives_whole():
    """Guards against a copy of the whole answer for each slow client."""
    memory = BodyMemory(BootClock(), LIMIT_BYTES)
    listener, port = await start(memory)
    client = await connect(port)
    client.send(get('/'))
    await asyncio.sleep(0.3)
    assert 0 < memory.held_bytes < 1024 * 1024
    _, _, body = await client.read_response()
    assert body == CONTENT
    assert not memory.held_bytes
    client.close()
    await listener.stop()


async def test_answer_that_is_cut_does_not_look_complete():
    """Guards against a part of an answer that is taken for the whole."""
    memory = BodyMemory(BootClock(), LIMIT_BYTES)
    listener, port = await start(memory)
    client = await connect(port)
    client.send(get('/'))
    await asyncio.sleep(0.3)
    Holding(memory).resize(LIMIT_BYTES)
    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        await client.read_response()
    assert memory.held_bytes == LIMIT_BYTES
    client.close()
    await listener.stop()
