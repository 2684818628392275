"""Reports the state of the services as gauges, and changes as log events."""

from wagtailline.admission import Gate
from wagtailline.distribution import Distribution, KeptOut
from wagtailline.membership import MembershipService
from wagtailline.peers import PeerLinks
from wagtailline.ports import Clock
from wagtailline.service_registry import ServiceRegistry
from wagtailline.snapshot import SnapshotStore
from wagtailline_daemon._background import BackgroundTask
from wagtailline_daemon.daemon_events import (
    EndpointSuperseded,
    SnapshotAging,
    SnapshotConfirmed,
    VersionKeptOut,
)
from wagtailline_daemon.events import EventLog
from wagtailline_daemon.monitoring._call_metrics import CallMetrics
from wagtailline_daemon.monitoring._metrics import Metrics

REPORT_INTERVAL_SECONDS = 10.0
# Source readers confirm the snapshot every 6 s, so a higher age means that the
# source is down or unreachable.
SNAPSHOT_AGING_SECONDS = 15.0


class Monitor:
    """Periodic reporter of the state of the services."""

    def __init__(
        self,
        registry: ServiceRegistry,
        clock: Clock,
        metrics: Metrics,
        events: EventLog,
    ) -> None:
        """Take the registry, which the services are looked up in at start."""
        self._registry = registry
        self._clock = clock
        self._metrics = metrics
        self._events = events
        self._kept_out: frozenset[KeptOut] = frozenset()
        self._is_aging = False
        self._is_superseded = False
        self._task = BackgroundTask(self._report_periodically)

    async def start(self) -> None:
        """Look up the services and start to report."""
        find = self._registry.find
        self._store = find('snapshots', SnapshotStore).unwrap()
        self._gate = find('gate', Gate).unwrap()
        self._distribution = find('distribution', Distribution).unwrap()
        self._membership = find('membership', MembershipService).unwrap()
        self._links = find('links', PeerLinks).unwrap()
        self._call_metrics = find('call_metrics', CallMetrics).unwrap()
        self._task.start()

    async def stop(self) -> None:
        """Stop reporting after a last report."""
        await self._task.stop()
        self._report()

    async def _report_periodically(self) -> None:
        while True:
            await self._clock.sleep(REPORT_INTERVAL_SECONDS)
            self._report()

    def _report(self) -> None:
        self._send_gauges()
        self._call_metrics.flush()
        self._log_snapshot_age()
        self._log_versions_kept_out()
        self._log_successor()

    def _send_gauges(self) -> None:
        age = self._distribution.age_seconds()
        gauges: dict[str, float | None] = {
            'snapshot.version': self._store.version,
            'snapshot.age_seconds': age,
            'snapshot.kept_out': len(self._distribution.kept_out),
            'snapshot.ready': self._distribution.is_ready,
            'gate.limit': self._gate.limit,
            'gate.in_progress': self._gate.in_progress,
            'gate.queued': self._gate.queued,
            'gate.load': self._gate.load,
            'peers.hellos_refused': self._links.hellos_refused,
            'members.takes_part': self._membership.takes_part,
        }
        for name, level in gauges.items():
            if level is not None:
                self._metrics.gauge(name, float(level))

    def _log_snapshot_age(self) -> None:
        age = self._distribution.age_seconds()
        is_aging = age is None or age > SNAPSHOT_AGING_SECONDS
        if is_aging and not self._is_aging:
            self._events.warning(
                SnapshotAging(
                    self._store.version,
                    -1 if age is None else int(age),
                    str(self._distribution.last_source_failure),
                )
            )
        if self._is_aging and not is_aging:
            self._events.info(SnapshotConfirmed(self._store.version))
        self._is_aging = is_aging

    def _log_versions_kept_out(self) -> None:
        kept_out = frozenset(self._distribution.kept_out)
        for version, digest, reason in kept_out - self._kept_out:
            self._events.error(VersionKeptOut(version, digest.hex(), reason))
        self._kept_out = kept_out

    def _log_successor(self) -> None:
        successor = self._membership.successor
        if successor is not None and not self._is_superseded:
            self._events.warning(
                EndpointSuperseded(successor.endpoint, successor.vm)
            )
        self._is_superseded = successor is not None
