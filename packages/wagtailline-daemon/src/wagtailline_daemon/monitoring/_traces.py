"""A trace span for each hop of a call, by OpenTelemetry.

The decision to sample is taken once, at the ingress, and travels in the W3C
``traceparent``. A call that is not sampled creates no span object, because
one costs 12-15 microseconds even then. Without an exporter OpenTelemetry is
not imported, which saves about 1 MiB.
"""

from pathlib import Path
from random import Random
from typing import Protocol

from wagtailline.calls import CallHandler


class Tracing(Protocol):
    """Wraps call handlers in spans."""

    def wrap(
        self, name: str, inner: CallHandler, root: bool = False
    ) -> CallHandler:
        """Return a handler that runs each sampled call in a span.

        A root decides for calls that carry no decision yet.
        """

    def stop(self) -> None:
        """Export what is left."""


class NoTracing:
    """Leaves handlers as they are."""

    def wrap(
        self, name: str, inner: CallHandler, root: bool = False
    ) -> CallHandler:
        """Return the handler itself."""
        return inner

    def stop(self) -> None:
        """Have nothing to export."""


def open_tracing(
    exporter: str, target: str, vm: str, ratio: float, random: Random
) -> Tracing:
    """Return tracing with the exporter that the settings name.

    The exporter ``otlp`` needs the extra ``otlp`` of this package; without
    it, ImportError names the missing module.
    """
    if exporter == 'none':
        return NoTracing()
    # Imported here, so that only daemons that trace pay for it.
    from wagtailline_daemon.monitoring import _spans

    opened = (
        _spans.FileSpanExporter(Path(target))
        if exporter == 'file'
        else _spans.open_otlp(target)
    )
    return _spans.SpanTracing(opened, vm, ratio, random)
