"""Tests of connections that open while a listener ends its reading."""

import asyncio
import socket

import pytest
import uvloop
from _peers import connect, echo, get, listen

from wagtailline_sidecar.model import IngressLimits

# The sidecar runs on the second one.
LOOPS = (asyncio.new_event_loop, uvloop.new_event_loop)
# More than a connection takes from the queue of the system to its protocol.
MAX_ITERATIONS = 12
HEAD_SECONDS = 0.1


async def find_handled(iterations: int) -> list[str]:
    """Return the targets that are handled of a connection that opens.

    Reading ends so many iterations of the loop after the client connects,
    and the client sends its request after that.
    """
    handled = []

    async def handle(request, exchange):
        handled.append(request.target)
        await exchange.respond(200, (), b'')

    listener, port = await listen(handle)
    with socket.create_connection(('127.0.0.1', port)) as client:
        for _ in range(iterations):
            await asyncio.sleep(0)
        listener.end_reading()
        client.sendall(get('/late'))
        await asyncio.sleep(0.1)
        await listener.stop()
    return handled


@pytest.mark.parametrize('make_loop', LOOPS)
@pytest.mark.parametrize('iterations', range(MAX_ITERATIONS))
def test_connection_that_opens_at_the_end_of_reading(make_loop, iterations):
    """Guards against requests that begin while the process ends (LOST).

    A connection that was accepted and not open yet went on reading.
    """
    with asyncio.Runner(loop_factory=make_loop) as runner:
        assert runner.run(find_handled(iterations)) == []


async def test_head_that_times_out_after_the_end_of_reading():
    """Guards against refusals that begin while the process ends.

    The timeout of an incomplete head started a task at any time.
    """
    limits = IngressLimits(head_timeout_seconds=HEAD_SECONDS)
    listener, port = await listen(echo, limits)
    client = await connect(port)
    client.send(b'GET / HTTP/1.1\r\n')
    while not listener.in_progress:  # noqa: ASYNC110
        await asyncio.sleep(0)
    listener.end_reading()
    await asyncio.sleep(3 * HEAD_SECONDS)
    client.close()
    assert await client.read_rest() == b''
    await listener.stop()
