"""The gate beside the upstream: check, admit, run once, record."""

from wagtailline_daemon.gate._confirmer import ExecutionConfirmer, judge_report
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
    'judge_report',
)
