"""Gate of the local upstream: verifies, admits, runs and records calls."""

from wagtailline_daemon.gate._confirmer import (
    ExecutionConfirmer,
    evaluate_report,
)
from wagtailline_daemon.gate._keyed_calls import KeyedCalls
from wagtailline_daemon.gate._request_content import RequestContent
from wagtailline_daemon.gate._service import GateParts, GateService
from wagtailline_daemon.gate._supervisor import GateSupervisor

__all__ = (
    'ExecutionConfirmer',
    'GateParts',
    'GateService',
    'GateSupervisor',
    'KeyedCalls',
    'RequestContent',
    'evaluate_report',
)
