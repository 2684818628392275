"""Counters, gauges and latency histograms in the Prometheus text format."""

from collections.abc import Callable
from typing import NamedTuple

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from wagtailline.client_limits import ClientLimit
from wagtailline_daemon.events import EventLog, event_name
from wagtailline_sidecar._configuration_selector import ConfigurationRefused
from wagtailline_sidecar.answer_events import AnswerRejected
from wagtailline_sidecar.gate_service import GateCallEnded
from wagtailline_sidecar.ingress import RequestEnded
from wagtailline_sidecar.refresh_events import (
    ORIGIN_SOURCE,
    OUTCOME_OK,
    EraChanged,
    RefreshEnded,
)
from wagtailline_sidecar.retry_budgets import RetryDecided
from wagtailline_sidecar.snapshot import PictureInstalled
from wagtailline_sidecar.source_replica import LoadReason, SourceReadEnded

_LATENCY_BUCKETS_SECONDS = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1,
    2.5,
    5,
    10,
)
_SIZE_BUCKETS_BYTES = (1_000, 10_000, 100_000, 1_000_000, 10_000_000)
_MILLISECONDS_PER_SECOND = 1000
# Faster successful refreshes are counted but not logged.
_SLOW_REFRESH_MS = 250
# Readings of the source with a shorter transfer are counted but not logged.
_SLOW_TRANSFER_MS = 100


class Telemetry:
    """Observer that logs each event and updates the metrics."""

    def __init__(self, events: EventLog) -> None:
        """Create the metrics in a registry of their own."""
        self._events = events
        self._registry = CollectorRegistry()
        self._requests = Counter(
            'wagtailline_requests_total',
            'Requests that ended, by status and reason',
            ['status', 'reason'],
            registry=self._registry,
        )
        self._request_seconds = Histogram(
            'wagtailline_request_seconds',
            'Time from a whole head to the end of the decision',
            ['route'],
            buckets=_LATENCY_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self._calls = Counter(
            'wagtailline_gate_calls_total',
            'Calls that ended at the gate, by outcome',
            ['outcome'],
            registry=self._registry,
        )
        self._wait_seconds = Histogram(
            'wagtailline_gate_wait_seconds',
            'Time that calls waited for a slot',
            buckets=_LATENCY_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self._events_total = Counter(
            'wagtailline_events_total',
            'Other events, by name',
            ['event'],
            registry=self._registry,
        )
        self._occupancy = Gauge(
            'wagtailline_gate_occupancy',
            'Calls in progress and queued at the gate',
            ['state'],
            registry=self._registry,
        )

        self._start_delay_seconds = Histogram(
            'wagtailline_request_start_delay_seconds',
            'Time that read requests waited for the processor',
            buckets=_LATENCY_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self._create_path_metrics()

    def observe_start_delay(self, seconds: float) -> None:
        """Count the time that a read request waited for the processor."""
        self._start_delay_seconds.observe(seconds)

    def count_client_limit(self, limit: ClientLimit) -> None:
        """Count that a client has met a limit."""
        self._client_limits.labels(limit).inc()

    def show_held_bytes(
        self,
        find_body_bytes: Callable[[], int],
        find_request_bytes: Callable[[], int],
    ) -> None:
        """Show the bytes that the daemon holds, when asked."""
        self._body_bytes.set_function(find_body_bytes)
        self._request_bytes.set_function(find_request_bytes)

    def show_connections(self, find: Callable[[], int]) -> None:
        """Show the connections of clients that are open, when asked."""
        self._connections.set_function(find)

    def observe(self, event: NamedTuple) -> None:
        """Log an event and update the metrics for it."""
        if _is_logged(event):
            self._events.info(event)
        match event:
            case RequestEnded():
                self._observe_request(event)
            case GateCallEnded():
                self._observe_gate_call(event)
            case RetryDecided():
                self._retries.labels(
                    event.service, event.cause, event.decision
                ).inc()
            case AnswerRejected():
                self._rejected_answers.labels(event.reason).inc()
            case RefreshEnded():
                self._observe_refresh(event)
            case SourceReadEnded():
                self._observe_source_read(event)
            case _:
                self._observe_other(event)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def _observe_other(self, event: NamedTuple) -> None:
        self._events_total.labels(event_name(event)).inc()
        match event:
            case EraChanged(era):
                self._source_era.set(era)
            case PictureInstalled(version, revision):
                self._source_era.set(revision.era)
                self._configuration_version.set(version)
            case ConfigurationRefused(version):
                self._refused_version.set(version)

    def _observe_request(self, event: RequestEnded) -> None:
        self._requests.labels(event.status, event.reason).inc()
        self._request_seconds.labels(event.route).observe(
            event.took_ms / _MILLISECONDS_PER_SECOND
        )

    def _observe_gate_call(self, event: GateCallEnded) -> None:
        self._calls.labels(event.outcome).inc()
        self._wait_seconds.observe(event.waited_ms / _MILLISECONDS_PER_SECOND)
        self._occupancy.labels('in_progress').set(event.in_progress)
        self._occupancy.labels('queued').set(event.queued)

    def _observe_source_read(self, event: SourceReadEnded) -> None:
        self._source_bytes.observe(event.received_bytes)
        self._source_transfer_seconds.observe(
            event.transfer_ms / _MILLISECONDS_PER_SECOND
        )

    def _create_path_metrics(self) -> None:
        self._rejected_answers = Counter(
            'wagtailline_rejected_answers_total',
            'Bytes of the upstream that are no expected response, by reason',
            ['reason'],
            registry=self._registry,
        )
        self._create_client_metrics()
        self._retries = Counter(
            'wagtailline_retries_total',
            'Retries that were wanted, by service, cause and decision',
            ['service', 'cause', 'decision'],
            registry=self._registry,
        )
        self._refresh_seconds = Histogram(
            'wagtailline_snapshot_refresh_seconds',
            'Time of attempts to refresh the snapshot, by origin and result',
            ['origin', 'result'],
            buckets=_LATENCY_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self._snapshot_age_seconds = Histogram(
            'wagtailline_snapshot_age_seconds',
            'Age of the snapshot after each attempt to refresh it',
            buckets=_LATENCY_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self._source_transfer_seconds = Histogram(
            'wagtailline_source_transfer_seconds',
            'Time from the first to the last byte of a reading of the source',
            buckets=_LATENCY_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self._source_era = Gauge(
            'wagtailline_source_era',
            'Era of the source that the snapshot in force is from',
            registry=self._registry,
        )
        self._configuration_version = Gauge(
            'wagtailline_configuration_version',
            'Version of the configuration in force',
            registry=self._registry,
        )
        self._refused_version = Gauge(
            'wagtailline_refused_configuration_version',
            'Version of the configuration that was refused last',
            registry=self._registry,
        )
        self._source_bytes = Histogram(
            'wagtailline_source_bytes',
            'Bytes that a reading of the source received',
            buckets=_SIZE_BUCKETS_BYTES,
            registry=self._registry,
        )

    def _create_client_metrics(self) -> None:
        self._body_bytes = Gauge(
            'wagtailline_body_bytes',
            'Bytes of bodies that the daemon holds',
            registry=self._registry,
        )
        self._request_bytes = Gauge(
            'wagtailline_request_bytes',
            'Bytes of heads and unparsed input that the daemon holds',
            registry=self._registry,
        )
        self._connections = Gauge(
            'wagtailline_client_connections',
            'Connections of clients that are open',
            registry=self._registry,
        )
        self._client_limits = Counter(
            'wagtailline_client_limits_total',
            'Times that a client has met a limit, by limit',
            ['limit'],
            registry=self._registry,
        )

    def _observe_refresh(self, event: RefreshEnded) -> None:
        origin = ORIGIN_SOURCE if event.origin == ORIGIN_SOURCE else 'peer'
        result = 'ok' if event.outcome == OUTCOME_OK else 'failed'
        self._refresh_seconds.labels(origin, result).observe(
            event.took_ms / _MILLISECONDS_PER_SECOND
        )
        self._snapshot_age_seconds.observe(
            event.picture_age_ms / _MILLISECONDS_PER_SECOND
        )


def _is_logged(event: NamedTuple) -> bool:
    """Return whether an event is logged; fast refreshes are only counted."""
    match event:
        case RefreshEnded():
            is_slow = event.took_ms >= _SLOW_REFRESH_MS
            return is_slow or event.outcome != OUTCOME_OK
        case SourceReadEnded():
            busy_ms = event.transfer_ms + event.decode_ms
            is_whole = event.load_reason is not LoadReason.NONE
            return is_whole or busy_ms >= _SLOW_TRANSFER_MS
    return True
