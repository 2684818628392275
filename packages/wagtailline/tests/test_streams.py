"""Tests of the TCP transport and its framing, over loopback."""

import asyncio
from typing import NamedTuple

import pytest

from wagtailline.codec import Codec, MalformedFrame
from wagtailline.ports import Address, ChannelClosed, DialFailed
from wagtailline.streams import MAX_CALL_FRAME_BYTES, StreamTransport


class Note(NamedTuple):
    content: bytes


_CODEC = Codec({16: Note})


def _run(scenario, **limits):
    async def run_scenario():
        faults = []
        received = asyncio.Queue()

        async def collect(channel):
            try:
                while True:
                    received.put_nowait(await channel.receive())
            finally:
                received.put_nowait('end')

        transport = StreamTransport(_CODEC, faults.append, **limits)
        listener = await transport.serve(Address('127.0.0.1', 0), collect)
        async with asyncio.timeout(10):
            await scenario(listener.address, transport, received)
        await listener.close()
        return faults

    return asyncio.run(run_scenario())


def _frame(message):
    encoded = _CODEC.encode(message)
    return len(encoded).to_bytes(4, 'big') + encoded


def test_frames_are_reassembled_from_any_split():
    """TCP may deliver a part of a frame, or several frames at once."""

    async def scenario(address, transport, received):
        notes = [Note(b'a' * size) for size in (0, 1, 300)]
        data = b''.join(map(_frame, notes))
        _, writer = await asyncio.open_connection(*address)
        for index in range(len(data)):
            writer.write(data[index : index + 1])
            await asyncio.sleep(0)
        writer.write(data)
        assert [await received.get() for _ in range(6)] == notes * 2
        writer.close()
        assert await received.get() == 'end'

    assert _run(scenario) == []


@pytest.mark.parametrize(
    'data', [(MAX_CALL_FRAME_BYTES + 1).to_bytes(4, 'big'), b'\0\0\0\1\xc1']
)
def test_faulty_frame_closes_its_connection(data):
    """An excessive length must not reserve memory.

    A frame that can't be decoded closes the connection too.
    """

    async def scenario(address, transport, received):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(data)
        assert await reader.read() == b''
        assert await received.get() == 'end'

    faults = _run(scenario, max_frame_bytes=MAX_CALL_FRAME_BYTES)
    assert [type(fault) for fault in faults] == [MalformedFrame]


def test_sender_waits_for_a_slow_receiver():
    """Messages that the peer does not read must not fill the memory."""

    async def scenario(address, transport, received):
        async def idle(channel):
            await asyncio.sleep(60)

        listener = await transport.serve(Address('127.0.0.1', 0), idle)
        channel = await transport.dial(listener.address)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.5):
                for _ in range(1000):
                    await channel.send(Note(bytes(100_000)))
        channel.close()
        with pytest.raises(ChannelClosed):
            await channel.send(Note(b''))
        with pytest.raises(ChannelClosed):
            await channel.receive()
        await listener.close()

    _run(scenario)


def test_dial_without_a_listener_fails():
    """A failed dial must raise, as proof that a call was not sent."""

    async def scenario(address, transport, received):
        with pytest.raises(DialFailed):
            await transport.dial(Address('127.0.0.1', 1))

    _run(scenario)


@pytest.mark.parametrize('host', ['x' * 70, 'x' * 100_000, 'a..b', 'a\x00b'])
def test_host_that_no_peer_can_have_fails_to_dial(host):
    """Guards against an odd host that ends the task which dials it.

    Its name could not be encoded for a look-up, which is no OSError.
    """

    async def scenario(address, transport, received):
        with pytest.raises(DialFailed):
            await transport.dial(Address(host, 80))

    _run(scenario)


def test_large_first_frame_is_rejected_before_it_arrives():
    """Strangers must not fill the memory with frames that they never end."""

    async def scenario(address, transport, received):
        reader, writer = await asyncio.open_connection(*address)
        writer.write((1000).to_bytes(4, 'big'))
        assert await reader.read() == b''
        writer.close()
        channel = await transport.dial(address)
        await channel.send(Note(b'first'))
        await channel.send(Note(b'x' * 1000))
        assert await received.get() == 'end'
        assert await received.get() == Note(b'first')
        assert await received.get() == Note(b'x' * 1000)
        channel.close()

    faults = _run(scenario, first_frame_bytes=100)
    assert faults == [MalformedFrame('frame of 1000 bytes')]
