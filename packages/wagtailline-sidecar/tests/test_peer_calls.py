"""Tests of the connections that daemons accept from others."""

import asyncio

from _peers import HOST

from wagtailline.messages import PROTOCOL_VERSION, PURPOSE_CALLS, Hello
from wagtailline.ports import Address
from wagtailline_lab.free_ports import find_free_ports
from wagtailline_sidecar.peer_calls import MAX_UNIDENTIFIED, Peers


async def test_strangers_without_a_hello_keep_few_connections():
    """Guards against silent strangers that take all descriptors."""
    address = Address(HOST, find_free_ports(1)[0])
    hello = Hello(PROTOCOL_VERSION, 'vm-1', HOST, 'oslo-a', 1, PURPOSE_CALLS)
    peers = Peers(hello, address, lambda fault: None)
    await peers.start()
    strangers = [
        await asyncio.open_connection(*address)
        for _ in range(2 * MAX_UNIDENTIFIED)
    ]
    await asyncio.sleep(0.2)
    ended = [reader.at_eof() for reader, _ in strangers]
    assert ended == [True] * MAX_UNIDENTIFIED + [False] * MAX_UNIDENTIFIED
    for _, writer in strangers:
        writer.close()
    await peers.stop()
