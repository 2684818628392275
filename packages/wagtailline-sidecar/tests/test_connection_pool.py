"""Tests of the connections to the upstream that are kept idle."""

import asyncio

from _peers import read_head, serve_script
from test_client_connection import REQUEST, WHOLE

from wagtailline.calls import WholeBody
from wagtailline_sidecar._connection_pool import MAX_IDLE, ConnectionPool
from wagtailline_sidecar.client_connection import open_connection
from wagtailline_sidecar.clock import BootClock
from wagtailline_sidecar.stutter_memory import StutterMemory


async def test_requests_of_one_id_keep_few_connections():
    """Guards against a client that takes all descriptors by one request id.

    A connection is not used again for the same id, so each request opened one
    and left it idle.
    """

    async def script(reader, writer):
        while True:
            await read_head(reader)
            writer.write(WHOLE)

    server, address = await serve_script(script)
    opened = []

    async def open_one():
        opened.append(await open_connection(address, 1))
        return opened[-1]

    clock = BootClock()
    pool = ConnectionPool(clock, open_one, lambda: None, StutterMemory(clock))
    for _ in range(2 * MAX_IDLE):
        connection = await pool.acquire(b'own')
        await connection.exchange(REQUEST, WholeBody())
        pool.release(connection)
    assert sum(connection.is_open for connection in opened) <= MAX_IDLE
    pool.close_idle()
    await asyncio.sleep(0)
    server.close()
