"""Tests of the metrics and of what is logged."""

import pytest

from wagtailline_sidecar._configuration_selector import ConfigurationRefused
from wagtailline_sidecar.answer_events import AnswerRejected, RejectionReason
from wagtailline_sidecar.body_memory import BodyCut
from wagtailline_sidecar.refresh_events import (
    ORIGIN_SOURCE,
    OUTCOME_OK,
    RefreshEnded,
)
from wagtailline_sidecar.retry_budgets import DENIED, GRANTED, RetryDecided
from wagtailline_sidecar.snapshot import PictureInstalled
from wagtailline_sidecar.source_replica import LoadReason, SourceReadEnded
from wagtailline_sidecar.source_revision import SourceRevision
from wagtailline_sidecar.telemetry import Telemetry


class RecordingLog:
    def __init__(self) -> None:
        self.events: list = []

    def info(self, event) -> None:
        self.events.append(event)


@pytest.mark.parametrize(
    ('event', 'is_logged'),
    [
        (RefreshEnded(ORIGIN_SOURCE, OUTCOME_OK, 20, 30), False),
        (RefreshEnded('10.0.0.1', OUTCOME_OK, 400, 30), True),
        (RefreshEnded('10.0.0.1', 'TimeoutError', 20, 900), True),
        (SourceReadEnded(OUTCOME_OK, 2000, 4, 1), False),
        (SourceReadEnded(OUTCOME_OK, 900_000, 800, 1), True),
        (SourceReadEnded(OUTCOME_OK, 900_000, 4, 300), True),
        (SourceReadEnded(OUTCOME_OK, 20, 4, 1, LoadReason.NEW_ERA), True),
    ],
)
def test_slow_and_failed_refreshes_are_logged(event, is_logged):
    """Guards against late snapshots without a trace, or a log full of them."""
    log = RecordingLog()
    Telemetry(log).observe(event)
    assert (log.events == [event]) == is_logged


def test_every_refresh_is_counted():
    """Guards against metrics that hide the refreshes that went well."""
    telemetry = Telemetry(RecordingLog())
    telemetry.observe(RefreshEnded(ORIGIN_SOURCE, OUTCOME_OK, 20, 30))
    telemetry.observe(RefreshEnded('10.0.0.1', 'TimeoutError', 20, 900))
    page = telemetry.render().decode()
    name = 'wagtailline_snapshot_refresh_seconds_count'
    assert f'{name}{{origin="source",result="ok"}} 1.0' in page
    assert f'{name}{{origin="peer",result="failed"}} 1.0' in page
    assert 'wagtailline_snapshot_age_seconds_count 2.0' in page


def test_versions_in_force_and_refused_are_shown():
    """Guards against daemons whose versions differ without a trace."""
    telemetry = Telemetry(RecordingLog())
    telemetry.observe(PictureInstalled(7, SourceRevision(1, 40), 3, ''))
    telemetry.observe(ConfigurationRefused(9, 1, 7, 'version: too large'))
    page = telemetry.render().decode()
    assert 'wagtailline_configuration_version 7.0' in page
    assert 'wagtailline_refused_configuration_version 9.0' in page


def test_retries_are_counted_by_cause():
    """Guards against metrics that do not tell why retries were spent."""
    telemetry = Telemetry(RecordingLog())
    for decision in (GRANTED, DENIED, DENIED):
        telemetry.observe(
            RetryDecided('a', 'desk', '500', decision, 'desk', 1, 2, 9)
        )
    page = telemetry.render().decode()
    name = 'wagtailline_retries_total'
    labels = 'cause="500",decision="denied",service="desk"'
    assert f'{name}{{{labels}}} 2.0' in page


def test_rejected_answers_are_counted_by_reason():
    """Guards against copies of answers whose kind nothing tells."""
    telemetry = Telemetry(RecordingLog())
    telemetry.observe(AnswerRejected(RejectionReason.SURPLUS, 'one', 2))
    page = telemetry.render().decode()
    name = 'wagtailline_rejected_answers_total'
    assert f'{name}{{reason="surplus"}} 1.0' in page


def test_bytes_of_bodies_are_shown():
    """Guards against a memory that fills without a trace."""
    telemetry = Telemetry(RecordingLog())
    telemetry.show_held_bytes(lambda: 5, lambda: 6)
    telemetry.observe(BodyCut(3, 5))
    page = telemetry.render().decode()
    assert 'wagtailline_body_bytes 5.0' in page
    assert 'wagtailline_events_total{event="body_cut"} 1.0' in page
