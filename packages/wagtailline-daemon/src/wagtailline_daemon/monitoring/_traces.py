"""Tracing with an OpenTelemetry span for each hop of a call.

The ingress decides once whether to sample a call, and the decision is passed
on in the W3C ``traceparent`` header. No span object is created for a call
that is not sampled, because creating one takes 12-15 microseconds even then.
Without an exporter OpenTelemetry is not imported, which saves about 1 MiB of
memory.
"""

from pathlib import Path
from random import Random
from typing import Protocol

from wagtailline.calls import CallHandler


class Tracing(Protocol):
    """Tracing of call handlers."""

    def wrap(
        self, name: str, inner: CallHandler, root: bool = False
    ) -> CallHandler:
        """Return a handler that runs each sampled call in a span.

        Only a root handler samples calls that arrive without a trace.
        """

    def stop(self) -> None:
        """Export the remaining spans and shut down."""


class DisabledTracing:
    """Tracing that is disabled."""

    def wrap(
        self, name: str, inner: CallHandler, root: bool = False
    ) -> CallHandler:
        """Return the handler unchanged."""
        return inner

    def stop(self) -> None:
        """Return at once, since there is nothing to export."""


def open_tracing(
    exporter: str, target: str, vm: str, ratio: float, random: Random
) -> Tracing:
    """Return tracing with the named exporter.

    Raises ImportError, which names the missing module, for the exporter
    ``otlp`` if this package is installed without its extra ``otlp``.
    """
    if exporter == 'none':
        return DisabledTracing()
    # OpenTelemetry is loaded only by daemons that have tracing enabled.
    from wagtailline_daemon.monitoring import _spans

    span_exporter = (
        _spans.FileSpanExporter(Path(target))
        if exporter == 'file'
        else _spans.open_otlp(target)
    )
    return _spans.SpanTracing(span_exporter, vm, ratio, random)
