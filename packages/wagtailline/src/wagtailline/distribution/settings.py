"""Periods and bounds of the distribution."""

from typing import NamedTuple


class DistributionSettings(NamedTuple):
    """Times are seconds.

    A reader makes two source calls in each ``watch_seconds``, which stays
    below the sustained rate of one call a second. One of them reads the whole
    head of up to 20 KB, so that a watch of 3 s would use up the 8 KB/s that a
    daemon may spend on control.
    """

    readers: int = 2
    watch_seconds: float = 6
    source_calls_per_second: float = 1
    source_burst_calls: int = 4
    source_backoff_seconds: float = 8
    gossip_seconds: float = 1
    probe_seconds: float = 1
    transfer_seconds: float = 5
    join_seconds: float = 5
    join_limit_seconds: float = 15
    join_backoff_min_seconds: float = 0.2
    join_backoff_max_seconds: float = 5
    confirm_seconds: float = 0.5
    max_pause_seconds: float = 1
    max_transfers: int = 32
