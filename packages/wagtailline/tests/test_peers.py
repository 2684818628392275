"""Guards the shared control connections."""

import asyncio
from random import Random
from typing import NamedTuple

import pytest
from result import Err, Ok

from wagtailline.membership import Member, MemberTable
from wagtailline.messages import PURPOSE_CONTROL, Hello
from wagtailline.peers import (
    HelloRefused,
    LinkSettings,
    PeerLinks,
    PeerTimedOut,
    PeerUnknown,
    PeerUnreachable,
)
from wagtailline.ports import Address, ChannelClosed, LoopClock
from wagtailline_lab.network import LinkQuality, MemoryNetwork
from wagtailline_lab.virtual import run_virtual


class Ask(NamedTuple):
    text: str
    request_id: int = 0


class Told(NamedTuple):
    text: str
    request_id: int = 0


def _member(number, endpoint=None):
    return Member(
        endpoint or f'e{number}',
        f'vm{number}',
        'osl1',
        Address('127.0.0.1', number),
        number,
    )


def _run(scenario):
    async def bounded():
        try:
            await scenario
        finally:
            for task in asyncio.all_tasks() - {asyncio.current_task()}:
                task.cancel()
            await asyncio.sleep(1)

    run_virtual(bounded())


async def _mesh(size, settings=None):
    network = MemoryNetwork(Random(1), LinkQuality())
    table = MemberTable()
    links = []
    for number in range(size):
        table.update(_member(number))
        one = PeerLinks(
            _member(number),
            table,
            network.transport(_member(number).address),
            LoopClock(0),
            settings,
        )

        async def echo(peer, message):
            return Told(f'{peer.endpoint} {message.text}')

        one.on_request(Ask, echo)
        await one.start()
        links.append(one)
    return network, table, links


def test_requests_share_one_connection_and_idle_ones_close():
    """A dial per request exhausts the peers' sockets."""

    async def scenario():
        network, _, links = await _mesh(2)
        for _ in range(5):
            reply = await links[0].request('e1', Ask('hi'), Told, 1)
            assert reply.unwrap().text == 'e0 hi'
        reply = await links[1].request('e0', Ask('yo'), Told, 1)
        assert reply.unwrap().text == 'e1 yo'
        assert network.dials == 1
        await LoopClock().sleep(20)
        assert links[0].connected() == links[1].connected() == ()
        for one in links:
            await one.stop()
        assert len(asyncio.all_tasks()) == 1

    _run(scenario())


def test_failures_have_types():
    """A caller that cannot tell failures apart retries the wrong one."""

    async def scenario():
        network, table, links = await _mesh(3)
        assert await links[0].request('e9', Ask(''), Told, 1) == Err(
            PeerUnknown('e9')
        )
        network.stop_process(Address('127.0.0.1', 1))
        assert await links[0].request('e1', Ask(''), Told, 1) == Err(
            PeerUnreachable('e1')
        )
        # The address of e7 now belongs to e2.
        table.update(_member(2, 'e7'))
        match await links[0].send('e7', Ask('')):
            case Err(HelloRefused(endpoint='e7')):
                pass
            case other:
                raise AssertionError(other)
        await links[0].send('e2', Ask(''))
        network.partition(lambda local, remote: True)
        assert await links[0].request('e2', Ask(''), Told, 1) == Err(
            PeerTimedOut('e2', 1)
        )

    _run(scenario())


def test_number_of_connections_is_bounded():
    """A daemon that talks to many peers must not run out of sockets."""

    async def scenario():
        _, _, links = await _mesh(8, LinkSettings(max_links=3))
        for number in range(1, 8):
            reply = await links[0].request(f'e{number}', Ask(''), Told, 1)
            assert isinstance(reply, Ok)
            assert len(links[0].connected()) <= 3

    _run(scenario())


def test_other_protocol_version_is_closed_and_counted():
    """A peer of another version must not be understood by chance."""

    async def scenario():
        network, _, links = await _mesh(2)
        channel = await network.transport(_member(0).address).dial(
            _member(1).address
        )
        hello = Hello(99, 'vm0', 'e0', 'osl1', 0, PURPOSE_CONTROL)
        await channel.send(hello)
        with pytest.raises(ChannelClosed):
            await channel.receive()
        assert links[1].hellos_refused == 1
        answered = await links[0].request('e1', Ask('still there'), Told, 1)
        assert answered.is_ok()

    _run(scenario())
