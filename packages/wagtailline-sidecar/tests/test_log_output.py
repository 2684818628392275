"""Tests of the log output that never blocks."""

import os

import pytest

from wagtailline_daemon.events import open_event_log
from wagtailline_sidecar.log_output import RateLimitedOutput
from wagtailline_sidecar.upstream_events import UpstreamLeaving

LINES = 500


class CountedEvent(UpstreamLeaving):
    """Event that counts how often its fields are formatted."""

    formatted = 0

    def _asdict(self):
        type(self).formatted += 1
        return super()._asdict()


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def test_dropped_lines_cost_no_formatting(pipe):
    """Guards against a log that takes the processor of a busy daemon."""
    reader, writer = pipe
    output = RateLimitedOutput(writer, 5)
    events = open_event_log('info', output, output.admit)
    CountedEvent.formatted = 0
    for _ in range(LINES):
        events.info(CountedEvent('e1'))
    written = os.read(reader, 1_000_000).decode().splitlines()
    assert 10 <= len(written) < LINES / 2
    assert CountedEvent.formatted == len(written)


def test_number_of_dropped_lines_is_logged(pipe):
    """Guards against a log that looks complete."""
    reader, writer = pipe
    output = RateLimitedOutput(writer, 1000)
    output._tokens = 0
    output._rate = 0
    assert not output.admit()
    assert not output.admit()
    output._rate = 1e9
    assert output.admit()
    output.write('line\n')
    assert os.read(reader, 100) == b'event=log_lines_dropped count=2\nline\n'


def test_output_that_nobody_reads_does_not_block(pipe):
    """Guards against a daemon that waits for the reader of its log."""
    _, writer = pipe
    output = RateLimitedOutput(writer, 1e9)
    for _ in range(100):
        output.write('x' * 10_000 + '\n')
