"""All-to-all heartbeats as a baseline, and the memory of a table."""

import time
import tracemalloc
from random import Random
from statistics import median
from typing import NamedTuple

from wagtailline.codec import Codec
from wagtailline.membership import MEMBERSHIP_KINDS, Member, MemberTable
from wagtailline.membership.messages import MemberUpdate, News
from wagtailline.ports import Address

DATA_CENTRE = 'lhe1'
SEED = 7
MICROSECONDS = 1_000_000
_HEARTBEAT_TIMEOUT = 3.0


class Rate(NamedTuple):
    """Cost for each member and second."""

    sent_bytes: float
    messages: float
    cpu_microseconds: float


class Spread(NamedTuple):
    """Seconds until the median and the last member know."""

    median: float
    last: float


def measure_heartbeats(size: int) -> tuple[Rate, Spread]:
    """Send one round of heartbeats from each member to each other one.

    A member is taken for dead when three seconds pass without one.
    """
    codec = Codec(MEMBERSHIP_KINDS)
    members = make_members(size)
    heard: list[dict[str, float]] = [{} for _ in members]
    sent_bytes = 0
    begun = time.process_time()
    for sender in members:
        message = MemberUpdate(News((sender,)))
        for receiver in range(size - 1):
            frame = codec.encode(message)
            sent_bytes += len(frame)
            received = codec.decode(frame).unwrap()
            if isinstance(received, MemberUpdate):
                heard[receiver][received.news.members[0].endpoint] = begun
    cpu = (time.process_time() - begun) * MICROSECONDS
    random = Random(SEED)
    # Each receiver's last heartbeat is up to one interval before the death.
    known = [_HEARTBEAT_TIMEOUT - random.random() for _ in members]
    rate = Rate(sent_bytes / size, size - 1, cpu / size)
    return rate, Spread(median(known), max(known))


def measure_memory(size: int) -> int:
    """Return the bytes of a table of decoded statements."""
    codec = Codec(MEMBERSHIP_KINDS)
    frames = [
        codec.encode(MemberUpdate(News((member,))))
        for member in make_members(size)
    ]
    tracemalloc.start()
    table = MemberTable()
    for frame in frames:
        update = codec.decode(frame).unwrap()
        if isinstance(update, MemberUpdate):
            table.update(update.news.members[0])
    table.in_data_centre(DATA_CENTRE)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used


def make_members(size: int) -> list[Member]:
    """Return statements with names of realistic length."""
    return [
        Member(
            f'catalogue-lhe1-{index:04}',
            f'vm-{index:05}',
            DATA_CENTRE,
            Address(f'10.0.{index >> 8}.{index & 255}', 7000),
            1_800_000_000_000 + index,
        )
        for index in range(size)
    ]
