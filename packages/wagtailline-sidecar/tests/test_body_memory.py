"""Tests of the memory that the bodies of one daemon share."""

from random import Random

import pytest
from _fixtures import FakeClock

from wagtailline_sidecar.body_memory import (
    MAX_PART_BYTES,
    MIN_BODY_BYTES,
    BodyBuffer,
    BodyCut,
    BodyMemory,
    Holding,
    make_whole_body,
)

LIMIT = 4 * 1024 * 1024
LARGE = 1024 * 1024
SEED = 7


class Fixture:
    """Memory whose cut bodies are listed by name."""

    def __init__(self) -> None:
        self.clock = FakeClock()
        self.events: list = []
        self.cut: list[str] = []
        self.memory = BodyMemory(self.clock, LIMIT, self.events.append)

    def hold(self, name: str, size_bytes: int) -> Holding:
        holding = Holding(self.memory, lambda: self.cut.append(name))
        holding.resize(size_bytes)
        return holding

    def buffer(self, max_bytes: int = LARGE) -> BodyBuffer:
        return BodyBuffer(self.memory, max_bytes, lambda: None)


@pytest.mark.parametrize('bodies', [1, 15, 60, 500])
def test_all_bodies_together_stay_within_the_limit(bodies):
    """Guards against a memory that grows with the number of connections."""
    fixture = Fixture()
    random = Random(SEED)
    buffers = [fixture.buffer() for _ in range(bodies)]
    for _ in range(20 * bodies):
        buffer = random.choice(buffers)
        if not buffer.is_full:
            buffer.append(b'x' * random.randrange(1, MAX_PART_BYTES))
            buffer.settle()
        assert fixture.memory.held_bytes <= LIMIT
    assert sum(len(buffer) for buffer in buffers) >= min(bodies, 4) * (
        MIN_BODY_BYTES
    )


def test_one_body_leaves_room_for_others():
    """Guards against one faulty upstream that takes all the memory."""
    fixture = Fixture()
    faulty = fixture.buffer(LIMIT)
    while not faulty.is_full:
        faulty.append(b'x' * 1000)
        faulty.settle()
    assert fixture.memory.share_bytes > LIMIT / 16


def test_largest_and_oldest_body_is_cut():
    """Guards against answers that are lost for one that never ends."""
    fixture = Fixture()
    fixture.hold('endless', LIMIT // 2)
    fixture.clock.now += 10
    fixture.hold('new', LIMIT // 2 + 1)
    assert fixture.cut == ['endless']
    assert fixture.events == [BodyCut(LIMIT // 2, LIMIT + 1)]
    assert fixture.memory.held_bytes == LIMIT // 2 + 1


def test_pieces_of_one_byte_take_no_more_than_a_whole():
    """Guards against pieces whose objects take more than their bytes."""
    fixture = Fixture()
    buffer = fixture.buffer()
    for _ in range(MIN_BODY_BYTES):
        buffer.append(b'x')
    buffer.settle()
    assert fixture.memory.held_bytes == MIN_BODY_BYTES
    assert buffer.take() == b'x' * MIN_BODY_BYTES


def test_parts_are_held_until_the_next_is_taken():
    """Guards against parts under way that nothing counts."""
    fixture = Fixture()
    buffer = fixture.buffer()
    buffer.append(b'x' * (MAX_PART_BYTES + 1))
    buffer.settle()
    assert len(buffer.take()) == MAX_PART_BYTES
    assert fixture.memory.held_bytes == MAX_PART_BYTES + 1
    assert len(buffer.take()) == 1
    assert fixture.memory.held_bytes == 1
    buffer.clear()
    assert not fixture.memory.held_bytes


def test_whole_body_is_held_while_it_is_referenced():
    """Guards against memory that stays taken after a cancelled request."""
    fixture = Fixture()
    body = make_whole_body(b'x' * LARGE, fixture.memory)
    assert fixture.memory.held_bytes == LARGE
    del body
    assert not fixture.memory.held_bytes
