"""Tests of the memory that everything of one kind shares."""

from random import Random

import pytest

from wagtailline.memory_budget import Holding
from wagtailline.request_memory import (
    HEADER_OVERHEAD_BYTES,
    LIMIT_BYTES,
    MIN_REQUEST_BYTES,
    RequestCut,
    RequestMemory,
    count_header_bytes,
)

# The largest legal head of the users, in the shortest lines that a parser
# accepts.
LARGEST_HEAD_BYTES = 16_384
SHORTEST_LINE_BYTES = len('a:\n')
SEED = 5


class FakeClock:
    def __init__(self) -> None:
        self.now = 0.0

    def monotonic(self) -> float:
        return self.now


def test_largest_legal_head_is_within_the_share_in_calm():
    """Guards against a legal request that is refused by an idle daemon."""
    memory = RequestMemory(FakeClock())
    lines = LARGEST_HEAD_BYTES // SHORTEST_LINE_BYTES
    head_bytes = LARGEST_HEAD_BYTES + lines * HEADER_OVERHEAD_BYTES
    assert head_bytes < memory.share_bytes


@pytest.mark.parametrize('holders', [1, 40, 400, 2000])
def test_holders_that_keep_to_their_share_stay_within_the_limit(holders):
    """Guards against a memory that grows with the number of connections."""
    memory = RequestMemory(FakeClock())
    random = Random(SEED)
    holdings = [Holding(memory, lambda: None) for _ in range(holders)]
    for _ in range(10 * holders):
        holding = random.choice(holdings)
        wanted_bytes = holding.size_bytes + random.randrange(LARGEST_HEAD_BYTES)
        holding.resize(min(wanted_bytes, int(memory.share_bytes)))
        floor_bytes = holders * MIN_REQUEST_BYTES
        assert memory.held_bytes <= max(LIMIT_BYTES, floor_bytes)


def test_small_request_is_held_while_a_crowd_holds_the_rest():
    """Guards against ordinary requests that a crowd shuts out."""
    memory = RequestMemory(FakeClock())
    for _ in range(1000):
        Holding(memory).resize(int(memory.share_bytes))
    assert memory.is_short
    assert memory.share_bytes >= MIN_REQUEST_BYTES


def test_largest_unfinished_request_is_cut_first():
    """Guards against the loss of a small request for a large one."""
    clock, cut, events = FakeClock(), [], []
    memory = RequestMemory(clock, LIMIT_BYTES, events.append)
    Holding(memory, lambda: cut.append('large')).resize(LIMIT_BYTES // 2)
    Holding(memory, lambda: cut.append('small')).resize(LIMIT_BYTES // 4)
    clock.now += 1
    Holding(memory).resize(LIMIT_BYTES // 2)
    assert cut == ['large']
    assert events == [RequestCut(LIMIT_BYTES // 2, LIMIT_BYTES * 5 // 4)]


def test_lines_count_with_their_objects():
    """Guards against short lines that count as their characters only."""
    headers = ((b'a', b''),) * 100
    assert count_header_bytes(headers) == 100 * (1 + HEADER_OVERHEAD_BYTES)
