"""Settings of the membership service."""

from typing import NamedTuple


class MembershipSettings(NamedTuple):
    """Intervals, timeouts and bounds of the membership protocol.

    With 745 members in a data centre and one probe a second from each, a
    dead member is first probed after about a second. With six transmissions
    of an update, about 2 of 745 members miss it; anti-entropy, triggered by
    the digests in each probe, brings it to them. At about 85 bytes for each
    update, ``gossip_batch`` x ``fanout`` / ``gossip_interval_seconds``
    updates a second bound the traffic of a member to about 5 KB/s, even
    when the whole data centre restarts.
    """

    probe_interval_seconds: float = 1.0
    probe_timeout_seconds: float = 0.5
    indirect_probe_timeout_seconds: float = 0.8
    indirect_probe_count: int = 2
    suspicion_timeout_seconds: float = 2.0
    gossip_interval_seconds: float = 0.3
    fanout: int = 2
    gossip_batch: int = 6
    probe_batch: int = 3
    transmissions: int = 6
    # From this queue length on, updates are sent fewer times and more is
    # left to anti-entropy, which sends each update only once.
    long_queue_length: int = 64
    long_queue_transmissions: int = 3
    sync_interval_seconds: float = 5.0
    sync_quiet_seconds: float = 2.0
    # Batches are paced: when a tenth of the members joins at once, each
    # gets the whole table over some seconds.
    sync_batch: int = 128
    sync_pause_seconds: float = 0.25
    recheck_interval_seconds: float = 5.0
    remote_probe_interval_seconds: float = 10.0
    pause_limit_seconds: float = 1.0
    confirm_interval_seconds: float = 3.0
    first_confirm_wait_seconds: float = 0.25
    witness_count: int = 5
    # A restarted witness has forgotten what it attested, so it attests
    # nothing while an earlier confirmation may still be in use.
    witness_quiet_seconds: float = 10.0
    list_interval_seconds: float = 60.0
    remote_list_interval_seconds: float = 600.0
    join_timeout_seconds: float = 5.0
    join_peer_count: int = 3
    retention_seconds: float = 600.0
    # While the list cannot be read, members that are down are kept for a
    # day, so that both sides of a long partition still know each other.
    max_retention_seconds: float = 86_400.0
    left_retention_seconds: float = 30.0
