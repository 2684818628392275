"""Times and bounds of the membership service."""

from typing import NamedTuple


class MembershipSettings(NamedTuple):
    """Intervals in seconds and bounds in counts.

    At 745 members a data centre, one probe a second from each member finds
    a dead one after about a second. Six transmissions of an update leave
    about 2 of 745 members without it; the comparison of digests in each
    probe repairs the rest. ``batch`` x ``fanout`` / ``gossip_interval``
    updates of about 85 bytes a second bound the traffic to about 5 KB/s,
    also when the whole data centre restarts.
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
    # A longer queue sends less of each update and leaves more to the
    # comparison of digests, which sends each update once.
    long_queue_length: int = 64
    long_queue_transmissions: int = 3
    sync_interval_seconds: float = 5.0
    sync_quiet_seconds: float = 2.0
    # Paced, so that a tenth of the members that join at once get the whole
    # table over some seconds.
    sync_batch: int = 128
    sync_pause_seconds: float = 0.25
    recheck_interval_seconds: float = 5.0
    remote_probe_interval_seconds: float = 10.0
    pause_limit_seconds: float = 1.0
    confirm_interval_seconds: float = 3.0
    first_confirm_wait_seconds: float = 0.25
    witness_count: int = 5
    # A witness that has just started has forgotten what it attested, so it
    # attests nothing while an older confirmation may still be in use.
    witness_quiet_seconds: float = 10.0
    list_interval_seconds: float = 60.0
    remote_list_interval_seconds: float = 600.0
    join_timeout_seconds: float = 5.0
    join_peer_count: int = 3
    retention_seconds: float = 600.0
    # Without a readable list, members that do not answer are kept for a day,
    # so that both sides of a long partition still know each other.
    max_retention_seconds: float = 86_400.0
    left_retention_seconds: float = 30.0
