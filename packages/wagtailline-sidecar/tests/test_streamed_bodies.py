"""Tests of bodies that are closed before their end."""

import asyncio

import pytest

from wagtailline.calls import BodyTruncated
from wagtailline_sidecar._exchange import Exchange
from wagtailline_sidecar.body_memory import make_unlimited_memory
from wagtailline_sidecar.streamed_bodies import ChainedBody, ObservedBody


class EndlessBody:
    """Body without end that records whether it was closed."""

    def __init__(self) -> None:
        self.closed = asyncio.Event()

    def __aiter__(self):
        return self

    async def __anext__(self) -> bytes:
        await asyncio.sleep(0)
        return b'part'

    async def aclose(self) -> None:
        self.closed.set()


class FakeConnection:
    """Connection whose client leaves after some writes."""

    is_closing = False

    def __init__(self, max_writes: int) -> None:
        self.writes_left = max_writes
        self.exchange: Exchange | None = None

    def is_last(self, exchange) -> bool:
        return True

    def reject_new_requests(self) -> None:
        """Do nothing; there are none."""

    def finish(self, exchange, keep_alive) -> None:
        """Do nothing; the response does not end."""

    def abort(self) -> None:
        """Do nothing; the client has left."""

    def report_error(self, error) -> None:
        raise error

    async def write(self, content) -> None:
        self.writes_left -= 1
        if self.writes_left <= 0:
            self.exchange.cancel()
        await asyncio.sleep(0)


@pytest.mark.parametrize('max_writes', [1, 5])
async def test_answer_whose_client_leaves_is_closed(max_writes):
    """Guards against upstreams at work on answers that nobody reads.

    The body was dropped unclosed, so nobody told the upstream.
    """
    body = EndlessBody()
    connection = FakeConnection(max_writes)
    connection.exchange = Exchange(connection, 'GET', None)
    connection.exchange.allow_writing()
    chained = ChainedBody(bytearray(b'first'), body, make_unlimited_memory())
    connection.exchange.run(connection.exchange.stream(200, (), chained))
    async with asyncio.timeout(5):
        await body.closed.wait()


async def test_chained_body_that_was_never_read_closes_its_rest():
    body = EndlessBody()
    chained = ChainedBody(bytearray(b'ab'), body, make_unlimited_memory())
    await chained.aclose()
    assert body.closed.is_set()


async def test_chained_body_yields_the_chunks_and_then_the_rest():
    chained = ChainedBody(
        bytearray(b'ab'), EndlessBody(), make_unlimited_memory()
    )
    assert [await anext(chained), await anext(chained)] == [b'ab', b'part']


async def test_observed_body_that_was_never_read_ends():
    """Guards against a slot that stays taken as its answer was dropped."""
    body = EndlessBody()
    sizes: list[int] = []
    observed = ObservedBody(body, sizes.append)
    await observed.aclose()
    await observed.aclose()
    assert body.closed.is_set()
    assert sizes == [0]


async def test_observed_body_tells_its_size_at_any_end():
    async def truncated():
        yield b'half'
        raise BodyTruncated

    sizes: list[int] = []
    with pytest.raises(BodyTruncated):
        async for _ in ObservedBody(truncated(), sizes.append):
            assert not sizes
    assert sizes == [4]
