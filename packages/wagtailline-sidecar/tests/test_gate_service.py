"""Tests of the handler for calls at the gate."""

import pytest
from _fixtures import FakeClock
from result import Err

from wagtailline.calls import CallRequest, Refusal, WholeBody
from wagtailline.uplink import Uplink
from wagtailline_sidecar.answer_link import AnswerLink
from wagtailline_sidecar.gate_service import GateService
from wagtailline_sidecar.header_names import HeaderNames
from wagtailline_sidecar.rate_limit import RateLimit

REFUSED = Err(Refusal('wait_too_long', 'no'))


class RecordingGate:
    """Gate that records the last ticket and refuses every one."""

    in_progress = 0
    queued = 0
    rate_limit = RateLimit(FakeClock())

    async def admit(self, ticket):
        self.ticket = ticket
        return REFUSED

    def describe_warm_up(self) -> str:
        return 'warm'


class ReadyUpstream:
    """State of a local upstream that accepts requests."""

    def find_refusal_reason(self, instance: str) -> str:
        return ''


@pytest.mark.parametrize('depth', [0, 1])
async def test_ticket_tells_whether_a_request_is_nested(depth):
    """Guards against nested requests that wait in the queue like new ones.

    A request is nested if another call caused it, which its depth tells.
    """
    gate = RecordingGate()
    clock = FakeClock()
    link = AnswerLink(Uplink(clock), 'vm')
    service = GateService(
        gate,
        None,
        ReadyUpstream(),
        link,
        clock,
        lambda event: None,
        HeaderNames(),
    )
    request = CallRequest(
        1, 'host', 'status', '', '', 'GET', '/', (), 1000, depth=depth
    )
    assert await service(request, WholeBody()) == REFUSED
    assert gate.ticket.is_nested == bool(depth)
