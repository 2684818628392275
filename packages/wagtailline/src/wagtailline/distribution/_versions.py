"""The version in force in this process, and the versions to keep out."""

from collections.abc import Iterable
from typing import NamedTuple

from result import Err, Ok, Result

from wagtailline.checks import SetFault, check_set
from wagtailline.distribution._delta_log import DeltaLog
from wagtailline.distribution.messages import KeptOut, VersionName
from wagtailline.objects import ObjectId
from wagtailline.ports import Clock
from wagtailline.release import (
    EMPTY_SET,
    BucketSet,
    Delta,
    Head,
    MalformedContent,
    ReleaseFailure,
    VersionChange,
    apply_deltas,
    assemble_buckets,
)
from wagtailline.snapshot import Snapshot, SnapshotStore

# Rejected and forked versions are rare; beyond this, the oldest is forgotten.
MAX_KEPT_OUT = 64
MAX_REASON_CHARACTERS = 400
# Allowed difference between the wall clocks of two vms.
MAX_CLOCK_DIFFERENCE_MS = 2000


class VersionRejected(NamedTuple):
    """The objects of the version have faults, so all of it is kept out."""

    version: int
    digest: bytes
    faults: tuple[SetFault | MalformedContent, ...]


class VersionForked(NamedTuple):
    """The number of the version in force was offered with another digest."""

    version: int
    digest: bytes


class VersionNotNewer(NamedTuple):
    """The offered version is not newer than the one in force."""

    version: int


class ChainBroken(NamedTuple):
    """The offered deltas do not continue the version in force."""

    version: int


VersionRefusal = (
    VersionRejected
    | VersionForked
    | VersionNotNewer
    | ChainBroken
    | ReleaseFailure
)


class Versions:
    """Version in force, which only newer and valid versions replace.

    Versions found to be faulty or forked are remembered and kept out.
    """

    def __init__(self, store: SnapshotStore, clock: Clock) -> None:
        """Start with the empty set; the store must be empty."""
        self.current_set: BucketSet = EMPTY_SET
        self.delta_log = DeltaLog()
        self.last_refusal: VersionRefusal | None = None
        self._store = store
        self._clock = clock
        self._confirmed_ms = 0
        self._kept_out: dict[tuple[int, bytes], KeptOut] = {}

    @property
    def name(self) -> VersionName:
        """Return the version in force with the time of its confirmation."""
        return VersionName(
            self.current_set.version,
            self.current_set.digest,
            self._confirmed_ms,
        )

    @property
    def kept_out(self) -> tuple[KeptOut, ...]:
        """Return the rejected and forked versions with their reasons."""
        return tuple(self._kept_out.values())

    def age_seconds(self) -> float | None:
        """Return the seconds since the last confirmation, None before any."""
        if not self._confirmed_ms:
            return None
        return max(0, self._clock.wall() - self._confirmed_ms / 1000)

    def is_wanted(self, name: VersionName) -> bool:
        """Return whether a version is newer and not kept out."""
        self.observe(name)
        return name.version > self.current_set.version and not self.is_kept_out(
            name
        )

    def is_kept_out(self, name: VersionName) -> bool:
        """Return whether a version is known to be faulty or forked."""
        return (name.version, name.digest) in self._kept_out

    def observe(self, name: VersionName) -> None:
        """Record a confirmation of the version in force, or a fork of it."""
        if (
            name.version != self.current_set.version
            or not self.current_set.version
        ):
            return
        if name.digest == self.current_set.digest:
            self._confirm(name.confirmed_ms)
        else:
            self._keep_out(name.version, name.digest, 'fork')

    def confirm_at(self, wall_ms: int) -> None:
        """Record that the source confirmed the version in force at a time."""
        self._confirm(wall_ms)

    def accept_deltas(
        self, deltas: tuple[Delta, ...]
    ) -> Result[None, VersionRefusal]:
        """Install the newest valid version that the deltas lead to."""
        chain = self.find_chain(deltas)
        if not chain:
            newest = max((delta.version for delta in deltas), default=0)
            return Err(ChainBroken(newest))
        refusal: VersionRefusal = ChainBroken(chain[-1].version)
        for length in range(len(chain), 0, -1):
            accepted = self._install_chain(chain[:length])
            if isinstance(accepted, Ok):
                return accepted
            refusal = accepted.err_value
        return Err(refusal)

    def find_chain(self, deltas: tuple[Delta, ...]) -> tuple[Delta, ...]:
        """Return the suffix of the deltas that follows the version in force."""
        for start in range(len(deltas) - 1, -1, -1):
            first = deltas[start]
            if (
                first.parent_digest == self.current_set.digest
                and first.version > self.current_set.version
            ):
                return deltas[start:]
        return ()

    def accept_buckets(
        self, head: Head, fetched: dict[bytes, bytes]
    ) -> Result[None, VersionRefusal]:
        """Install the version of a head from present and fetched buckets."""
        refusal = self._find_refusal(head.version, head.digest)
        if refusal is not None:
            return Err(refusal)
        base = self.current_set
        match assemble_buckets(base, head, fetched):
            case Ok(change):
                installed = self._install(change)
                if installed.is_ok():
                    self.delta_log.append_change(base, change)
                return installed
            case Err(MalformedContent() as fault):
                # The digests match, so every copy has the same fault.
                return Err(self._reject(head.version, head.digest, (fault,)))
            case Err(failure):
                self.last_refusal = failure
                return Err(failure)

    def _install_chain(
        self, chain: tuple[Delta, ...]
    ) -> Result[None, VersionRefusal]:
        last = chain[-1]
        refusal = self._find_refusal(last.version, last.digest)
        if refusal is not None:
            return Err(refusal)
        match apply_deltas(self.current_set, chain):
            case Ok(change):
                installed = self._install(change)
                if installed.is_ok():
                    self.delta_log.extend(chain)
                return installed
            case Err(failure):
                # Only this copy may be damaged, so the version is not kept out.
                self.last_refusal = failure
                return Err(failure)

    def _find_refusal(
        self, version: int, digest: bytes
    ) -> VersionRefusal | None:
        self.observe(VersionName(version, digest))
        kept_out_version = self._kept_out.get((version, digest))
        if kept_out_version is not None and version > self.current_set.version:
            return VersionRejected(version, digest, ())
        if version > self.current_set.version:
            return None
        if kept_out_version is not None:
            return VersionForked(version, digest)
        return VersionNotNewer(version)

    def _install(self, change: VersionChange) -> Result[None, VersionRefusal]:
        buckets = change.buckets
        faults = self._find_faults(buckets, change.changed)
        if faults:
            return Err(self._reject(buckets.version, buckets.digest, faults))
        current = self._store.current
        snapshot = (
            Snapshot(buckets.version, buckets.digest, buckets.objects)
            if current is None
            else current.advance(
                buckets.version,
                buckets.digest,
                buckets.objects,
                change.changed,
            )
        )
        if isinstance(self._store.install(snapshot), Err):
            return Err(VersionNotNewer(buckets.version))
        # The confirmation time stays: the newer version is at least as fresh.
        self.current_set = buckets
        return Ok(None)

    def _find_faults(
        self, buckets: BucketSet, changed: frozenset[ObjectId]
    ) -> tuple[SetFault, ...]:
        current = self._store.current
        if current is None:
            return check_set(buckets.objects)
        return current.find_faults(buckets.objects, changed)

    def _reject(
        self,
        version: int,
        digest: bytes,
        faults: Iterable[SetFault | MalformedContent],
    ) -> VersionRejected:
        rejected = VersionRejected(version, digest, tuple(faults))
        reason = ', '.join(str(fault) for fault in rejected.faults)
        self._keep_out(version, digest, reason)
        self.last_refusal = rejected
        return rejected

    def _keep_out(self, version: int, digest: bytes, reason: str) -> None:
        if (version, digest) in self._kept_out:
            return
        if len(self._kept_out) >= MAX_KEPT_OUT:
            del self._kept_out[next(iter(self._kept_out))]
        self._kept_out[version, digest] = KeptOut(
            version, digest, reason[:MAX_REASON_CHARACTERS]
        )

    def _confirm(self, wall_ms: int) -> None:
        now_ms = int(self._clock.wall() * 1000)
        # A time from a clock that is far ahead would hide that the source is
        # unreachable.
        if self._confirmed_ms < wall_ms <= now_ms + MAX_CLOCK_DIFFERENCE_MS:
            self._confirmed_ms = wall_ms
