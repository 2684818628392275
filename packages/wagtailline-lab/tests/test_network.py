"""Tests of the in-memory network that other tests simulate faults with."""

from random import Random
from typing import NamedTuple

import pytest

from wagtailline.ports import Address, ChannelClosed, DialFailed
from wagtailline_lab.network import LinkQuality, MemoryNetwork
from wagtailline_lab.virtual import run_virtual

_CLIENT = Address('127.0.0.1', 1)
_SERVER = Address('127.0.0.1', 2)


class Message(NamedTuple):
    text: str


def test_messages_cross_partitions_only_after_healing():
    """Guards against a partition that lets messages or dials through.

    Tests that rely on it would then run without the partition they set up.
    """

    async def scenario():
        network = MemoryNetwork(Random(1), LinkQuality())
        received = []

        async def collect(channel):
            while True:
                received.append(await channel.receive())

        await network.transport(_SERVER).serve(_SERVER, collect)
        channel = await network.transport(_CLIENT).dial(_SERVER)
        network.partition(lambda local, remote: True)
        await channel.send(Message('during partition'))
        with pytest.raises(DialFailed):
            await network.transport(_CLIENT).dial(_SERVER)
        network.heal()
        await channel.send(Message('after healing'))
        with pytest.raises(TimeoutError):
            import asyncio

            await asyncio.wait_for(channel.receive(), 1)
        network.stop_process(_SERVER)
        with pytest.raises(ChannelClosed):
            await channel.receive()
        return received

    assert run_virtual(scenario()) == [Message('after healing')]
