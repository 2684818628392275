"""Tests of the end of a listener, while connections open and requests come."""

import asyncio
import contextlib
import gc
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


def send_after(iterations: int, client: socket.socket) -> None:
    """Send a request after so many iterations of the event loop."""
    if iterations:
        loop = asyncio.get_running_loop()
        loop.call_soon(send_after, iterations - 1, client)
        return
    # A connection that was never accepted is reset.
    with contextlib.suppress(OSError):
        client.sendall(get('/late'))


async def end_service(
    client: socket.socket, iterations: int, problems: list[str]
) -> None:
    """Serve as a daemon does, and end so many iterations after a client came.

    What the event loop reports, also later, is appended to ``problems``.
    """

    def report(loop, context) -> None:
        problems.append(context['message'])

    asyncio.get_running_loop().set_exception_handler(report)
    listener, port = await listen(echo)
    client.connect(('127.0.0.1', port))
    for _ in range(iterations):
        await asyncio.sleep(0)
    listener.end_reading()
    await listener.stop()


@pytest.mark.parametrize('iterations', range(6))
@pytest.mark.parametrize('later_iterations', range(10))
def test_no_request_is_pending_when_the_loop_ends(iterations, later_iterations):
    """Guards against tasks that the end of the event loop destroys.

    The daemon logged ``handler_failed`` after it had stopped. A request that
    came when the tasks to cancel had been listed was started all the same.
    """
    problems = []

    async def run(client) -> None:
        await end_service(client, iterations, problems)
        send_after(later_iterations, client)

    with socket.socket() as client:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(run(client))
        gc.collect()
    assert problems == []
