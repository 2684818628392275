"""The daemons that hold shares of the limits of accounts or issue tokens."""

from collections.abc import Mapping

from wagtailline.placement import HashRing
from wagtailline.ports import MonotonicClock
from wagtailline_sidecar.token_bucket import BucketLimit

# Time for which a daemon that is no longer present still holds its shares.
MEMBER_RETENTION_SECONDS = 30.0
# Age of the oldest news with which a daemon still spends shares.
MAX_NEWS_SECONDS = 5.0
# Time after which the others have read that a daemon is present again, and it
# would know itself if it were not any more.
JOIN_SECONDS = 2 * MAX_NEWS_SECONDS
_PRUNE_PERIOD_SECONDS = 1.0
# Fraction of a limit that is divided among the daemons by demand. The rest is
# at the token issuers, for daemons that have used up their own share.
SHARED_FRACTION = 0.4
# Smallest capacity of an equal share. If the shares of a limit were smaller,
# the whole limit is at its token issuers.
_MIN_SHARE_TOKENS = 1
# Token issuers of an account: enough of them that the loss of one costs the
# account little, and one in each data centre where there are no more.
_MIN_ISSUERS = 3
_MAX_ISSUERS = 5
# Smallest capacity of an issuer. Smaller limits have fewer issuers.
_MIN_ISSUER_TOKENS = 2


class Members:
    """The daemons, by host, and the token issuers among them.

    Each account has a few issuer positions, and each position prefers a data
    centre of its own, so that a data centre that is cut off keeps its part of
    the limit. A lost issuer is replaced by another host, if possible of the
    same data centre.
    """

    def __init__(
        self, clock: MonotonicClock, data_centre: str = '', host: str = ''
    ) -> None:
        """Set up an empty set of daemons for the one at ``host``."""
        self._clock = clock
        self._host = host
        # None while this daemon is not present itself.
        self._present_since: float | None = None
        self._data_centre = data_centre
        self._last_seen: dict[str, float] = {}
        self._data_centres: dict[str, str] = {}
        self._present: frozenset[str] = frozenset()
        self._rings: dict[str, HashRing] = {}
        self._centre_ring = HashRing(())
        self._issuers: dict[tuple[str, int], tuple[str, ...]] = {}
        self._pruned_at = float('-inf')

    @property
    def hosts(self) -> frozenset[str]:
        """Return the hosts that are present or were so recently."""
        self._prune()
        return frozenset(self._last_seen)

    @property
    def known_count(self) -> int:
        """Return the number of daemons that are known, maybe 0."""
        self._prune()
        return len(self._last_seen)

    def __len__(self) -> int:
        """Return the number of daemons, at least 1 for this one."""
        return max(self.known_count, 1)

    @property
    def is_counted(self) -> bool:
        """Return whether the others count this daemon when they divide.

        They count it for a while after it was present last, but when that
        ends they don't say. So it is not certain as soon as it is absent, and
        again when it has been present for some seconds.
        """
        if not self._last_seen:
            return True
        if self._present_since is None:
            return False
        return self._clock.monotonic() - self._present_since >= JOIN_SECONDS

    def update_hosts(self, hosts: Mapping[str, str]) -> None:
        """Replace the hosts that are present, each with its data centre."""
        now = self._clock.monotonic()
        if self._host not in hosts:
            self._present_since = None
        elif not self._last_seen:
            # It may have been present before it started.
            self._present_since = float('-inf')
        elif self._present_since is None:
            self._present_since = now
        self._last_seen.update(dict.fromkeys((*self._present, *hosts), now))
        self._data_centres.update(hosts)
        if hosts.keys() != self._present:
            self._present = frozenset(hosts)
            self._index_hosts(hosts)
        self._pruned_at = float('-inf')

    def count_issuers(self, limit: BucketLimit) -> int:
        """Return the number of issuer positions of an account."""
        self._prune()
        issued_tokens = limit.capacity * (1 - self.shared_fraction(limit))
        data_centres = len(set(self._data_centres.values()))
        wanted = min(max(data_centres, _MIN_ISSUERS), _MAX_ISSUERS)
        return max(min(wanted, int(issued_tokens / _MIN_ISSUER_TOKENS)), 1)

    def issuers(self, account: str, count: int) -> tuple[str, ...]:
        """Return the host at each issuer position of an account.

        There are none as long as no daemon is present.
        """
        key = account, count
        if key not in self._issuers:
            self._issuers[key] = self._find_issuers(account, count)
        return self._issuers[key]

    def find_hosts(self, key: str, count: int) -> tuple[str, ...]:
        """Return some hosts for a key, if possible of different data centres.

        They are the same at each daemon that knows the same hosts.
        """
        return tuple(dict.fromkeys(self._find_issuers(key, count)))

    def order_issuers(self, account: str, count: int) -> list[str]:
        """Return the issuers in the order in which this daemon asks them.

        Those of its own data centre come first.
        """
        hosts = list(dict.fromkeys(self.issuers(account, count)))
        return sorted(
            hosts,
            key=lambda host: self._data_centres[host] != self._data_centre,
        )

    def shared_fraction(self, limit: BucketLimit) -> float:
        """Return the fraction of a limit that is divided among the daemons."""
        equal_share_tokens = limit.capacity * SHARED_FRACTION / len(self)
        return SHARED_FRACTION if equal_share_tokens >= _MIN_SHARE_TOKENS else 0

    def _index_hosts(self, hosts: Mapping[str, str]) -> None:
        by_centre: dict[str, list[str]] = {}
        for host, data_centre in hosts.items():
            by_centre.setdefault(data_centre, []).append(host)
        self._rings = {
            name: HashRing(members) for name, members in by_centre.items()
        }
        self._centre_ring = HashRing(set(self._data_centres.values()))
        self._issuers.clear()

    def _find_issuers(self, account: str, count: int) -> tuple[str, ...]:
        if not self._rings:
            return ()
        data_centres = self._centre_ring.find(
            account, len(set(self._data_centres.values()))
        )
        hosts: list[str] = []
        for position in range(count):
            start = position % len(data_centres)
            preferred = data_centres[start:] + data_centres[:start]
            ring = next(
                self._rings[data_centre]
                for data_centre in preferred
                if data_centre in self._rings
            )
            hosts.extend(ring.find(f'{account}/{position}', 1))
        return tuple(hosts)

    def _prune(self) -> None:
        now = self._clock.monotonic()
        if now - self._pruned_at < _PRUNE_PERIOD_SECONDS:
            return
        self._pruned_at = now
        self._last_seen = {
            host: last_seen
            for host, last_seen in self._last_seen.items()
            if host in self._present
            or now - last_seen < MEMBER_RETENTION_SECONDS
        }
        if self._data_centres.keys() != self._last_seen.keys():
            self._data_centres = {
                host: self._data_centres[host] for host in self._last_seen
            }
            self._index_hosts(
                {host: self._data_centres[host] for host in self._present}
            )
