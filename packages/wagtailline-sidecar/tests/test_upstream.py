"""Tests of the upstream client over loopback connections."""

import asyncio

import pytest
from _peers import read_head, send_endlessly, serve_script
from result import Err, Ok

from wagtailline.calls import BodyTruncated, CallRequest, Refusal, WholeBody
from wagtailline_sidecar.clock import BootClock
from wagtailline_sidecar.header_names import HeaderNames
from wagtailline_sidecar.upstream import ConnectionFailure, Upstream
from wagtailline_sidecar.upstream_notices import RateLimitNamed, UpstreamNotice

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
    outcome, head, _ = await observe_run(status, *header_lines)
    return outcome, head


async def observe_run(status: str, *header_lines: str):
    """Run a request, and return also what the response says of its upstream."""
    heads = []
    notices: list[UpstreamNotice] = []

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
    upstream.observe_notice = notices.append
    outcome = await upstream.run(REQUEST, WholeBody(), 0.5)
    server.close()
    return outcome, heads[0].lower(), notices


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


async def run_endless(head: bytes):
    """Run a request at an upstream that sends a body without end.

    Return the outcome once the upstream has seen its connection close.
    """
    script, closed = send_endlessly(bytes(10_000), head)
    server, address = await serve_script(script)
    upstream = Upstream(address, HeaderNames(), BootClock())
    async with asyncio.timeout(5):
        outcome = await upstream.run(REQUEST, WholeBody(), 0.2)
        if isinstance(outcome, Ok):
            with pytest.raises(BodyTruncated):
                async for _ in outcome.ok_value.body:
                    await asyncio.sleep(0)
        await closed.wait()
    server.close()
    return outcome


@pytest.mark.parametrize(
    'head',
    [
        b'HTTP/1.1 200 OK\r\n\r\n',
        b'HTTP/1.1 421 X\r\n\r\n',
        b'HTTP/1.1 503 X\r\nwagtailline-not-run: 1\r\n\r\n',
    ],
)
async def test_refused_response_with_an_endless_body_frees_its_connection(head):
    """Guards against connections that stay open because nobody reads them."""
    assert isinstance(await run_endless(head), Err)


async def test_endless_body_is_truncated_when_the_time_is_up():
    """Guards against a success response that never ends."""
    outcome = await run_endless(
        b'HTTP/1.1 200 OK\r\nWagtailline-Seal: 1\r\n\r\n'
    )
    assert isinstance(outcome, Ok)


async def test_endless_head_is_refused_as_unknown():
    """Guards against a refusal that denies an execution it can't rule out."""
    outcome = await run_endless(b'HTTP/1.1 200 OK\r\nX-Long: ')
    assert outcome.err_value.reason == 'upstream_malformed'
    assert outcome.err_value.executed == 'unknown'


@pytest.mark.parametrize('has_id', [False, True])
async def test_repeated_refusal_does_not_answer_the_next_request(has_id):
    """Guards against a request that runs and is reported as not run.

    A faulty upstream writes an earlier refusal once more on a kept connection
    when the next request has arrived there.
    """

    async def script(reader, writer):
        sent_id = find_id(await read_head(reader))
        echo = b'x-id: ' + sent_id if has_id else b'x: y'
        refusal = (
            b'HTTP/1.1 503 Busy\r\nwagtailline-not-run: 1\r\n'
            + echo
            + b'\r\ncontent-length: 0\r\n\r\n'
        )
        is_first = not heads
        heads.append(sent_id)
        if is_first:
            writer.write(refusal)
            sent_id = find_id(await read_head(reader))
            writer.write(refusal)
        writer.write(
            b'HTTP/1.1 200 OK\r\nwagtailline-seal: 1\r\nx-id: '
            + sent_id
            + b'\r\ncontent-length: 0\r\n\r\n'
        )
        await reader.read()

    heads: list[bytes] = []
    server, address = await serve_script(script)
    names = HeaderNames(request_id=b'x-id')
    upstream = Upstream(address, names, BootClock())
    async with asyncio.timeout(5):
        refused = await upstream.run(make_request(b'one'), WholeBody(), 0.5)
        answered = await upstream.run(make_request(b'two'), WholeBody(), 0.5)
    server.close()
    assert refused.err_value.executed == 'no'
    assert answered.ok_value.status == 200


async def test_restart_between_two_requests_is_noticed():
    """Guards against a cold upstream that counts as warm (FAILBACK).

    It restarted while no request was in progress, so none failed, and the next
    ones went to the new process over new connections.
    """

    async def script(reader, writer):
        await answer_one(reader, writer)
        await restarted.wait()
        writer.close()

    restarted = asyncio.Event()
    server, address = await serve_script(script)
    upstream = Upstream(address, HeaderNames(request_id=b'x-id'), BootClock())
    failures: list = []
    noticed = asyncio.Event()
    upstream.observe_failure = lambda failure: (
        failures.append(failure),
        noticed.set(),
    )
    async with asyncio.timeout(5):
        await upstream.run(make_request(b'one'), WholeBody(), 0.5)
        failures.clear()
        noticed.clear()
        restarted.set()
        await noticed.wait()
    assert failures == [ConnectionFailure(is_refused=False)]
    server.close()


async def test_connection_closed_by_the_daemon_is_no_restart():
    """Guards against a doubt about an upstream that goes on as before."""

    async def script(reader, writer):
        await answer_one(reader, writer)
        await reader.read()
        ended.set()

    ended = asyncio.Event()
    server, address = await serve_script(script)
    upstream = Upstream(address, HeaderNames(request_id=b'x-id'), BootClock())
    failures: list = []
    upstream.observe_failure = failures.append
    async with asyncio.timeout(5):
        await upstream.run(make_request(b'one'), WholeBody(), 0.5)
        failures.clear()
        upstream.close_idle()
        await ended.wait()
    assert not failures
    server.close()


async def test_gap_between_two_connections_is_noticed():
    """Guards against a cold upstream that counts as warm (FAILBACK).

    Nothing tells of a restart while no connection is open.
    """

    async def script(reader, writer):
        await read_head(reader)
        writer.write(
            b'HTTP/1.1 200 OK\r\nwagtailline-seal: 1\r\nx-id: one\r\n'
            b'connection: close\r\ncontent-length: 0\r\n\r\n'
        )
        writer.close()

    server, address = await serve_script(script)
    upstream = Upstream(address, HeaderNames(request_id=b'x-id'), BootClock())
    failures: list = []
    upstream.observe_failure = failures.append
    async with asyncio.timeout(5):
        await upstream.run(make_request(b'one'), WholeBody(), 0.5)
        failures.clear()
        await upstream.run(make_request(b'one'), WholeBody(), 0.5)
    assert failures == [ConnectionFailure(is_refused=False)]
    server.close()


async def answer_one(reader, writer) -> None:
    """Answer the request whose id is ``one``, and keep the connection."""
    await read_head(reader)
    writer.write(
        b'HTTP/1.1 200 OK\r\nwagtailline-seal: 1\r\nx-id: one\r\n'
        b'content-length: 0\r\n\r\n'
    )


def make_request(request_id: bytes) -> CallRequest:
    return REQUEST._replace(headers=((b'x-id', request_id),))


def find_id(head: bytes) -> bytes:
    _, _, rest = head.lower().partition(b'x-id: ')
    return rest.partition(b'\r')[0]


async def notices_of(status: str, *header_lines: str) -> list[UpstreamNotice]:
    """Return what a response says of its upstream."""
    return (await observe_run(status, *header_lines))[2]


@pytest.mark.parametrize(
    ('status', 'header_line'),
    [
        ('200 OK', 'Wagtailline-Seal: 1'),
        ('500 Internal Server Error', 'Wagtailline-Seal: 1'),
        ('503 Service Unavailable', 'Wagtailline-Not-Run: 1'),
    ],
)
async def test_responses_of_an_upstream_tell_its_limit(status, header_line):
    """Guards against a limit that is named in some responses only (LIMIT)."""
    assert await notices_of(
        status,
        header_line,
        'Wagtailline-Rate-Limit: 2.5',
        'Wagtailline-Leaving: 1',
    ) == [UpstreamNotice('i-1', RateLimitNamed(2.5), is_leaving=True)]


@pytest.mark.parametrize(
    ('status', 'header_line'),
    [
        ('200 OK', 'Date: today'),
        ('500 Internal Server Error', 'Date: today'),
        ('421 Misdirected Request', 'Wagtailline-Seal: 1'),
        ('421 Misdirected Request', 'Wagtailline-Not-Run: 1'),
    ],
)
async def test_responses_of_others_tell_nothing_of_an_upstream(
    status, header_line
):
    """Guards against a limit or a leaving of another instance.

    A response without a seal may come from anywhere, and a misdirected
    request has met another instance.
    """
    assert not await notices_of(
        status,
        header_line,
        'Wagtailline-Rate-Limit: 2.5',
        'Wagtailline-Leaving: 1',
    )


@pytest.mark.parametrize('instance', ['i-1', ''])
async def test_health_check_tells_the_limit_of_the_instance(instance):
    """Guards against a restarted daemon that waits for a first response.

    A response that names no instance may come from another one.
    """
    notices: list[UpstreamNotice] = []

    async def script(reader, writer):
        await read_head(reader)
        writer.write(
            b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n'
            b'Wagtailline-Rate-Limit: 2.5\r\n'
            + f'Wagtailline-Instance: {instance}\r\n\r\n'.encode()
        )
        await reader.read()

    server, address = await serve_script(script)
    upstream = Upstream(address, HeaderNames(), BootClock())
    upstream.observe_notice = notices.append
    await upstream.check_health('/health')
    server.close()
    expected = UpstreamNotice('i-1', RateLimitNamed(2.5), is_leaving=False)
    assert notices == ([expected] if instance else [])


@pytest.mark.parametrize('number', ['nan', 'inf', '-1', '1e300', '9' * 400])
async def test_odd_number_of_a_refused_response_is_ignored(number):
    """Guards against a refusal that becomes an error of the daemon.

    An unsafe request that had not run then ended as one that may have.
    """
    outcome, _ = await run(
        '503 Busy', 'Wagtailline-Not-Run: 1', f'Retry-After: {number}'
    )
    assert outcome.err_value == Refusal('upstream_shed', 'no', 0)


@pytest.mark.parametrize('number', ['nan', 'inf', '-1', '1e300'])
async def test_odd_warm_up_of_a_health_check_is_ignored(number):
    """Guards against an upstream that counts as cold without end."""

    async def script(reader, writer):
        await read_head(reader)
        writer.write(
            f'HTTP/1.1 200 OK\r\nWagtailline-Warm-Up-Ms: {number}\r\n'
            'Content-Length: 0\r\n\r\n'.encode()
        )
        await reader.read()

    server, address = await serve_script(script)
    upstream = Upstream(address, HeaderNames(), BootClock())
    report = await upstream.check_health('/health')
    server.close()
    assert report.warm_up_seconds == 0


@pytest.mark.parametrize('status', ['000', '001', '099', '199', '600', '999'])
async def test_number_that_is_no_status_is_refused_at_once(status):
    """Guards against numbers that callers get as a status.

    Those below 200 were taken for interim responses, so their requests waited
    for a final one until their deadline.
    """
    async with asyncio.timeout(5):
        outcome, _ = await run(f'{status} X', 'Seal: s')
    assert outcome == Err(Refusal('upstream_malformed', 'unknown'))


async def test_interim_response_that_names_the_request_is_refused_at_once():
    """Guards against a request that waits for a response that can't come."""

    name = HeaderNames().request_id

    async def script(reader, writer):
        await read_head(reader)
        writer.write(b'HTTP/1.1 199 X\r\n%b: own\r\n\r\n' % name)
        await reader.read()

    server, address = await serve_script(script)
    upstream = Upstream(address, HeaderNames(), BootClock())
    request = REQUEST._replace(headers=((name, b'own'),))
    async with asyncio.timeout(5):
        outcome = await upstream.run(request, WholeBody(), 0.5)
    assert outcome == Err(Refusal('upstream_malformed', 'unknown'))
    server.close()
