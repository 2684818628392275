"""Guards the fake network: a partition that leaks proves nothing."""

from random import Random
from typing import NamedTuple

import pytest

from wagtailline.ports import Address, ChannelClosed, DialFailed
from wagtailline_lab.network import LinkQuality, MemoryNetwork
from wagtailline_lab.virtual import run_virtual

_NEAR = Address('127.0.0.1', 1)
_FAR = Address('127.0.0.1', 2)


class Note(NamedTuple):
    text: str


def test_messages_cross_partitions_only_after_healing():
    async def scenario():
        network = MemoryNetwork(Random(1), LinkQuality())
        received = []

        async def collect(channel):
            while True:
                received.append(await channel.receive())

        await network.transport(_FAR).serve(_FAR, collect)
        channel = await network.transport(_NEAR).dial(_FAR)
        network.partition(lambda local, remote: True)
        await channel.send(Note('lost'))
        with pytest.raises(DialFailed):
            await network.transport(_NEAR).dial(_FAR)
        network.heal()
        await channel.send(Note('kept'))
        with pytest.raises(TimeoutError):
            import asyncio

            await asyncio.wait_for(channel.receive(), 1)
        network.stop_process(_FAR)
        with pytest.raises(ChannelClosed):
            await channel.receive()
        return received

    assert run_virtual(scenario()) == [Note('kept')]
