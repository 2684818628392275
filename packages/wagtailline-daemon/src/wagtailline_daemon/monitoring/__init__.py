"""Metrics and traces of the daemon."""

from wagtailline_daemon.monitoring._call_metrics import CallMetrics
from wagtailline_daemon.monitoring._metrics import Metrics, open_metrics
from wagtailline_daemon.monitoring._monitor import Monitor
from wagtailline_daemon.monitoring._traces import Tracing, open_tracing

__all__ = (
    'CallMetrics',
    'Metrics',
    'Monitor',
    'Tracing',
    'open_metrics',
    'open_tracing',
)
