"""What an answer of the local upstream proves, over loopback."""

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


async def run(status: str, *rows: str):
    """Run a request at an upstream that answers with the given head."""
    heads = []

    async def script(reader, writer):
        heads.append(await read_head(reader))
        fields = ''.join(f'{row}\r\n' for row in (*rows, 'Content-Length: 0'))
        writer.write(f'HTTP/1.1 {status}\r\n{fields}\r\n'.encode())
        await reader.read()

    server, address = await serve_script(script)
    upstream = Upstream(address, HeaderNames(), BootClock())
    outcome = await upstream.run(REQUEST, WholeBody(), 0.5)
    server.close()
    return outcome, heads[0].lower()


async def test_instance_and_time_left_are_handed_on():
    """Guards against a request that runs elsewhere or longer than asked."""
    _, head = await run('200 OK', 'Wagtailline-Seal: 1')
    assert b'wagtailline-expected-instance: i-1' in head
    assert b'wagtailline-timeout-ms: 500' in head


async def test_success_without_a_seal_is_no_answer():
    """Guards against a success that no upstream has made."""
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
async def test_answers_that_say_not_run(status, row, reason):
    """Guards against a request that is lost although it did not run."""
    outcome, _ = await run(status, row)
    assert outcome.err_value.reason == reason
    assert outcome.err_value.executed == 'no'


async def test_plain_failure_is_the_upstreams_answer():
    """Guards against a failure that is taken for not run."""
    outcome, _ = await run('503 Busy', 'Wagtailline-Seal: 1')
    assert outcome.ok_value.status == 503
