"""Tests of the events about responses that are rejected."""

import asyncio

import pytest
from _peers import read_head, serve_script

from wagtailline.calls import CallRequest, WholeBody
from wagtailline_sidecar.answer_events import AnswerRejected
from wagtailline_sidecar.clock import BootClock
from wagtailline_sidecar.header_names import HeaderNames
from wagtailline_sidecar.upstream import Upstream

NAMES = HeaderNames(request_id=b'x-id')
HEAD = b'HTTP/1.1 200 OK\r\nwagtailline-seal: 1\r\ncontent-length: 0\r\n'
OWN = HEAD + b'x-id: two\r\n\r\n'
COPY = HEAD + b'x-id: one\r\n\r\n'


def make_request(request_id: bytes) -> CallRequest:
    return CallRequest(
        version=1,
        endpoint='127.0.0.1',
        route='status',
        client_account='',
        key_digest='',
        method='GET',
        target='/status/',
        headers=((b'x-id', request_id),),
        timeout_ms=1000,
        instance='i-1',
    )


async def collect_rejections(
    content: bytes, late: bytes
) -> list[AnswerRejected]:
    """Return the events about the second response of a connection.

    The upstream sends ``late`` once the response has been taken.
    """

    async def script(reader, writer):
        await read_head(reader)
        writer.write(COPY)
        await read_head(reader)
        writer.write(content)
        await answered.wait()
        writer.write(late)
        await reader.read()

    def observe(event) -> None:
        if isinstance(event, AnswerRejected):
            events.append(event)
            rejected.set()

    events: list[AnswerRejected] = []
    answered, rejected = asyncio.Event(), asyncio.Event()
    server, address = await serve_script(script)
    upstream = Upstream(address, NAMES, BootClock())
    upstream.observe_events(observe)
    async with asyncio.timeout(5):
        await upstream.run(make_request(b'one'), WholeBody(), 0.5)
        await upstream.run(make_request(b'two'), WholeBody(), 0.5)
        answered.set()
        await rejected.wait()
    server.close()
    return events


@pytest.mark.parametrize(
    ('content', 'late', 'reason', 'request_id'),
    [
        (COPY + OWN, b'', 'other_request', 'two'),
        (b'no answer', b'', 'malformed', 'two'),
        (OWN, COPY, 'unexpected', ''),
        (OWN + COPY, b'', 'surplus', 'two'),
    ],
)
async def test_event_tells_why_bytes_are_no_answer(
    content, late, reason, request_id
):
    """Guards against copies, garbage and surplus that logs don't tell apart."""
    events = await collect_rejections(content, late)
    assert events == [AnswerRejected(reason, request_id, 2)]
