"""Tests of connections to an upstream that sends responses again."""

import asyncio

import pytest
from _peers import read_head, serve_script

from wagtailline.calls import CallRequest, WholeBody
from wagtailline_sidecar._connection_pool import MAX_RESTING, REST_SECONDS
from wagtailline_sidecar.answer_events import StutterEnded, StutterStarted
from wagtailline_sidecar.header_names import HeaderNames
from wagtailline_sidecar.stutter_memory import STUTTER_SECONDS
from wagtailline_sidecar.upstream import Upstream

NAMES = HeaderNames(request_id=b'x-id')
REQUEST = CallRequest(
    version=1,
    endpoint='127.0.0.1',
    route='status',
    client_account='',
    key_digest='',
    method='GET',
    target='/status/',
    headers=(),
    timeout_ms=1000,
    instance='i-1',
)


class Clock:
    """Clock whose time is set by the test."""

    def __init__(self) -> None:
        self.now = float(100)

    def monotonic(self) -> float:
        return self.now


class Server:
    """Upstream that says on which connection each request came."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.upstream = Upstream(None, NAMES, self.clock)
        self.events: list = []
        self.failures: list = []
        self.upstream.observe_events(self.events.append)
        self.upstream.observe_failure = self.failures.append
        self.uses: list[int] = []
        self.opened = 0
        self.surplus = b''

    async def start(self) -> None:
        self.server, address = await serve_script(self.serve)
        self.upstream._address = address

    async def serve(self, reader, writer) -> None:
        self.opened += 1
        number = self.opened
        while True:
            try:
                head = await read_head(reader)
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            self.uses.append(number)
            _, _, rest = head.partition(b'x-id: ')
            writer.write(
                b'HTTP/1.1 200 OK\r\nwagtailline-seal: 1\r\nx-id: %b\r\n'
                b'content-length: 0\r\n\r\n%b'
                % (rest.partition(b'\r')[0], self.surplus)
            )

    async def ask(self, request_id: bytes) -> None:
        request = REQUEST._replace(headers=((b'x-id', request_id),))
        async with asyncio.timeout(5):
            outcome = await self.upstream.run(request, WholeBody(), 1)
        assert outcome.ok_value.status == 200

    async def stutter(self) -> None:
        self.surplus = b'HTTP/1.1 2'
        await self.ask(b'stuttered')
        self.surplus = b''

    def count_starts(self) -> int:
        return sum(isinstance(event, StutterStarted) for event in self.events)


@pytest.fixture
async def server():
    started = Server()
    await started.start()
    yield started
    started.upstream.close_idle()
    started.server.close()


async def test_sound_upstream_gets_one_connection_for_many_requests(server):
    """Guards against new connections that sound upstreams pay for."""
    for number in range(20):
        await server.ask(b'%d' % number)
    assert server.opened == 1


# Guards against late copies that meet a later request (MIXED).
async def test_connections_to_a_stuttering_upstream_rest_between_requests(
    server,
):
    await server.stutter()
    for number in range(MAX_RESTING + 3):
        await server.ask(b'%d' % number)
    assert len(set(server.uses)) == len(server.uses)
    server.clock.now += REST_SECONDS
    opened = server.opened
    await server.ask(b'rested')
    assert server.opened == opened
    assert server.count_starts() == 1


async def test_stuttering_ends_and_connections_are_used_again(server):
    """Guards against new connections long after the last copy."""
    await server.stutter()
    await server.ask(b'one')
    server.clock.now += STUTTER_SECONDS
    server.uses.clear()
    for number in range(10):
        await server.ask(b'%d' % number)
    assert len(set(server.uses)) == 1
    assert StutterEnded() in server.events


async def test_resting_connections_tell_of_no_restart(server):
    """Guards against an upstream that is in doubt because it stutters."""
    await server.stutter()
    await server.ask(b'one')
    server.failures.clear()
    for number in range(2 * MAX_RESTING):
        await server.ask(b'%d' % number)
    assert not server.failures


# Guards against an old health report in the place of a new one.
async def test_health_checks_share_no_connection(server):
    await server.ask(b'one')
    await server.upstream.check_health('/health')
    await server.upstream.check_health('/health')
    await server.ask(b'two')
    assert server.uses == [1, 2, 3, 1]


# Guards against the copy of a refusal that answers the same request when it is
# sent again and runs (REFUSED).
async def test_request_that_is_sent_again_gets_another_connection(server):
    await server.ask(b'one')
    await server.ask(b'two')
    await server.ask(b'one')
    assert server.uses == [1, 1, 2]
