"""Settings of the distribution."""

from typing import NamedTuple


class DistributionSettings(NamedTuple):
    """Periods, timeouts and limits of the distribution.

    ``readers`` is the number of members of each data centre that read the
    source. The limiter of source calls has a sustained rate and a burst.

    A reader makes two source calls in each ``watch_seconds``, which stays
    below the sustained rate of one call per second. One of them reads the
    whole head of up to 20 KB, so that a watch of 3 s would use up the 8 KB/s
    that a daemon may spend on control traffic.

    ``probe_seconds`` is both the period of probes of readers and the timeout
    of short requests; ``transfer_seconds`` is the timeout of a bucket
    request. A joining member waits ``join_seconds`` for all the peers that
    it asked, and at most ``join_limit_seconds`` for the newest version it
    heard of. A member that was paused for longer than ``max_pause_seconds``
    must confirm its version again. ``max_transfers`` limits the peers that
    fetch buckets from one member at a time.
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
