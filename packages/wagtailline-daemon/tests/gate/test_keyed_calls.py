"""Tests of calls with an idempotency key against the execution records."""

import asyncio

import pytest
from result import Err

from wagtailline.admission import Ticket
from wagtailline.calls import CallRequest, Refusal, WholeBody
from wagtailline.executions import ExecutionRecords, Instant, Ownership
from wagtailline_daemon.gate import KeyedCalls, RequestContent

_NOW = Instant(10_000, 10_000)
_KEY = '00000098-9680-7000-8000-000000000000'
_REQUEST = CallRequest(
    1, 'a', 'pay', 'studio', '', 'POST', '/', (), 100, idempotency_key=_KEY
)
_CONTENT = RequestContent(WholeBody(b''), b'digest')
_TICKET = Ticket('studio', 1, 20_000, b'')


@pytest.mark.parametrize(
    ('first', 'resend_reason', 'runs'),
    [
        (Refusal('upstream_reset', 'unknown'), 'outcome_unknown', 1),
        (Refusal('queue_full', 'no'), 'queue_full', 2),
        (None, 'outcome_unknown', 1),
    ],
)
def test_only_a_call_that_did_not_run_runs_again(first, resend_reason, runs):
    """A resend must not run if the first call may have run or was cancelled."""
    requests_run = []

    async def run(request, content, ticket):
        requests_run.append(request)
        if first is None:
            raise asyncio.CancelledError
        return Err(first)

    async def scenario():
        ownership = Ownership('a')
        ownership.replace_positions(('a',), Instant(0, 0))
        records = ExecutionRecords(ownership)
        records.confirm(_NOW)
        keyed = KeyedCalls(records, run)
        outcomes = []
        for _ in range(2):
            try:
                outcomes.append(
                    await keyed.run(_REQUEST, _CONTENT, _TICKET, lambda: _NOW)
                )
            except asyncio.CancelledError:
                outcomes.append(None)
        return outcomes[1]

    assert asyncio.run(scenario()).unwrap_err().reason == resend_reason
    assert len(requests_run) == runs
