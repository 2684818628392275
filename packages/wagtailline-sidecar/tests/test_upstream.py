"""Tests of the upstream client over loopback connections."""

import pytest
from _peers import read_head, serve_script

from wagtailline.calls import CallRequest, WholeBody
from wagtailline_sidecar.clock import BootClock
from wagtailline_sidecar.header_names import HeaderNames
from wagtailline_sidecar.upstream import Upstream

REQUEST = CallRequest(
    version=1,
    endpoint='127.0.0.1',
    route='status',
    client_account='',
    key_digest='',
    method='GET',
    target='/status/',
    headers=((b'host', b'desk.example'),),
    timeout_ms=1000,
    instance='i-1',
)


async def run(status: str, *header_lines: str):
    """Run a request at an upstream that responds with the given head.

    Return the outcome and the head of the request that the upstream received.
    """
    heads = []

    async def script(reader, writer):
        heads.append(await read_head(reader))
        fields = ''.join(
            f'{header_line}\r\n'
            for header_line in (*header_lines, 'Content-Length: 0')
        )
        writer.write(f'HTTP/1.1 {status}\r\n{fields}\r\n'.encode())
        await reader.read()

    server, address = await serve_script(script)
    upstream = Upstream(address, HeaderNames(), BootClock())
    outcome = await upstream.run(REQUEST, WholeBody(), 0.5)
    server.close()
    return outcome, heads[0].lower()


async def test_instance_and_time_limit_are_forwarded():
    """Guards against a request without its instance or time limit.

    It could run at another instance, or longer than its caller waits.
    """
    _, head = await run('200 OK', 'Wagtailline-Seal: 1')
    assert b'wagtailline-expected-instance: i-1' in head
    assert b'wagtailline-timeout-ms: 500' in head


async def test_success_without_a_seal_is_rejected():
    """Guards against a success response of another server."""
    outcome, _ = await run('200 OK')
    assert outcome.err_value.reason == 'answer_without_seal'
    assert outcome.err_value.executed == 'unknown'


@pytest.mark.parametrize(
    ('status', 'row', 'reason'),
    [
        ('421 Misdirected Request', 'X: y', 'wrong_instance'),
        ('503 Busy', 'Wagtailline-Not-Run: 1', 'upstream_shed'),
    ],
)
async def test_responses_that_deny_execution(status, row, reason):
    """Guards against a refused request that counts as possibly executed.

    Such a request could not be retried, although that would be safe.
    """
    outcome, _ = await run(status, row)
    assert outcome.err_value.reason == reason
    assert outcome.err_value.executed == 'no'


async def test_error_response_is_passed_on():
    """Guards against an error response that is taken for a refusal.

    The upstream has executed the request, so it must not be retried as if
    it had not.
    """
    outcome, _ = await run('503 Busy', 'Wagtailline-Seal: 1')
    assert outcome.ok_value.status == 503
