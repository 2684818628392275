"""Baseline of all-to-all heartbeats, and the memory of a member table."""

import time
import tracemalloc
from random import Random
from statistics import median
from typing import NamedTuple

from wagtailline.codec import Codec
from wagtailline.membership import MEMBERSHIP_KINDS, Member, MemberTable
from wagtailline.membership.messages import GossipMessage, UpdateBatch
from wagtailline.ports import Address

DATA_CENTRE = 'lhe1'
SEED = 7
MICROSECONDS_PER_SECOND = 1_000_000
_HEARTBEAT_TIMEOUT_SECONDS = 3.0


class Rate(NamedTuple):
    """Cost of a member and second."""

    sent_bytes: float
    messages: float
    cpu_microseconds: float


class PropagationDelay(NamedTuple):
    """Seconds until the median and the last member know of a change."""

    median: float
    last: float


def measure_heartbeats(size: int) -> tuple[Rate, PropagationDelay]:
    """Measure one round of heartbeats between all members.

    Each member sends one heartbeat a second to each other member and is
    considered dead after three seconds without one.
    """
    codec = Codec(MEMBERSHIP_KINDS)
    members = make_members(size)
    last_heard: list[dict[str, float]] = [{} for _ in members]
    sent_bytes = 0
    started_at = time.process_time()
    for sender in members:
        message = GossipMessage(UpdateBatch((sender,)))
        for receiver in range(size - 1):
            frame = codec.encode(message)
            sent_bytes += len(frame)
            received = codec.decode(frame).unwrap()
            if isinstance(received, GossipMessage):
                last_heard[receiver][received.updates.members[0].endpoint] = (
                    started_at
                )
    cpu = (time.process_time() - started_at) * MICROSECONDS_PER_SECOND
    random = Random(SEED)
    # Each receiver's last heartbeat is up to one interval before the death.
    delays = [_HEARTBEAT_TIMEOUT_SECONDS - random.random() for _ in members]
    rate = Rate(sent_bytes / size, size - 1, cpu / size)
    return rate, PropagationDelay(median(delays), max(delays))


def measure_memory(size: int) -> int:
    """Return the memory in bytes of a table of decoded statements."""
    codec = Codec(MEMBERSHIP_KINDS)
    frames = [
        codec.encode(GossipMessage(UpdateBatch((member,))))
        for member in make_members(size)
    ]
    tracemalloc.start()
    table = MemberTable()
    for frame in frames:
        message = codec.decode(frame).unwrap()
        if isinstance(message, GossipMessage):
            table.update(message.updates.members[0])
    table.in_data_centre(DATA_CENTRE)
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used_bytes


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
