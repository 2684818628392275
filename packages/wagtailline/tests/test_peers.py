"""Tests of the shared control connections."""

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


class EchoRequest(NamedTuple):
    text: str
    request_id: int = 0


class EchoReply(NamedTuple):
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


async def _start_mesh(size, settings=None):
    network = MemoryNetwork(Random(1), LinkQuality())
    table = MemberTable()
    links = []
    for number in range(size):
        table.update(_member(number))
        peer_links = PeerLinks(
            _member(number),
            table,
            network.transport(_member(number).address),
            LoopClock(0),
            settings,
        )

        async def echo(peer, message):
            return EchoReply(f'{peer.endpoint} {message.text}')

        peer_links.on_request(EchoRequest, echo)
        await peer_links.start()
        links.append(peer_links)
    return network, table, links


def test_requests_share_a_connection_that_is_closed_when_idle():
    """A connection for each request exhausts the sockets of the peers."""

    async def scenario():
        network, _, links = await _start_mesh(2)
        for _ in range(5):
            reply = await links[0].request(
                'e1', EchoRequest('hi'), EchoReply, 1
            )
            assert reply.unwrap().text == 'e0 hi'
        reply = await links[1].request('e0', EchoRequest('yo'), EchoReply, 1)
        assert reply.unwrap().text == 'e1 yo'
        assert network.dials == 1
        await LoopClock().sleep(20)
        assert links[0].connected_peers() == links[1].connected_peers() == ()
        for peer_links in links:
            await peer_links.stop()
        assert len(asyncio.all_tasks()) == 1

    _run(scenario())


def test_each_failure_has_its_own_type():
    """Callers decide by the type of a failure whether to retry."""

    async def scenario():
        network, table, links = await _start_mesh(3)
        assert await links[0].request(
            'e9', EchoRequest(''), EchoReply, 1
        ) == Err(PeerUnknown('e9'))
        network.stop_process(Address('127.0.0.1', 1))
        assert await links[0].request(
            'e1', EchoRequest(''), EchoReply, 1
        ) == Err(PeerUnreachable('e1'))
        # The table gives e7 the address at which e2 listens.
        table.update(_member(2, 'e7'))
        match await links[0].send('e7', EchoRequest('')):
            case Err(HelloRefused(endpoint='e7')):
                pass
            case unexpected:
                raise AssertionError(unexpected)
        await links[0].send('e2', EchoRequest(''))
        network.partition(lambda local, remote: True)
        assert await links[0].request(
            'e2', EchoRequest(''), EchoReply, 1
        ) == Err(PeerTimedOut('e2', 1))

    _run(scenario())


def test_number_of_connections_is_bounded():
    """A daemon with many peers must not run out of sockets."""

    async def scenario():
        _, _, links = await _start_mesh(8, LinkSettings(max_links=3))
        for number in range(1, 8):
            reply = await links[0].request(
                f'e{number}', EchoRequest(''), EchoReply, 1
            )
            assert isinstance(reply, Ok)
            assert len(links[0].connected_peers()) <= 3

    _run(scenario())


def test_hello_with_another_protocol_version_is_refused_and_counted():
    """Messages of another protocol version could decode to wrong values."""

    async def scenario():
        network, _, links = await _start_mesh(2)
        channel = await network.transport(_member(0).address).dial(
            _member(1).address
        )
        hello = Hello(99, 'vm0', 'e0', 'osl1', 0, PURPOSE_CONTROL)
        await channel.send(hello)
        with pytest.raises(ChannelClosed):
            await channel.receive()
        assert links[1].hellos_refused == 1
        answered = await links[0].request(
            'e1', EchoRequest('still there'), EchoReply, 1
        )
        assert answered.is_ok()

    _run(scenario())
