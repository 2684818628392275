"""Tests of calls through ingress, router, TCP and gate to an upstream."""

import asyncio
import contextlib
from random import Random

import pytest
import uvicorn
from result import Ok

from wagtailline.calls import CALL_KINDS, CallClient, CallServer
from wagtailline.codec import Codec
from wagtailline.messages import CONNECTION_KINDS, Hello
from wagtailline.objects import DataCentre, Endpoint, Route, Service, object_id
from wagtailline.ports import Address, LoopClock
from wagtailline.routing import Handlers, LocalEndpoint, Router
from wagtailline.snapshot import Snapshot, SnapshotStore
from wagtailline.streams import StreamTransport
from wagtailline_daemon.ingress import Ingress, ingress_config
from wagtailline_daemon.upstream import UpstreamClient, UpstreamSettings

_HOST = '127.0.0.1'


class Upstream:
    """Echoes target and body; hangs on ``/wait`` and truncates ``/cut``."""

    def __init__(self):
        self.began = asyncio.Event()
        self.ended = asyncio.Event()

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while head := await reader.readuntil(b'\r\n\r\n'):
                await self._answer(head, reader, writer)
        self.ended.set()
        writer.close()

    async def _answer(self, head, reader, writer):
        target = head.split(b' ')[1]
        self.began.set()
        if target == b'/wait':
            await reader.read()
            raise ConnectionError
        body = b''
        if b'content-length: ' in head:
            length = head.split(b'content-length: ')[1].split(b'\r\n')[0]
            body = await reader.readexactly(int(length))
        answer = target + b'|' + body
        writer.write(
            b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(answer)
        )
        if target.startswith(b'/cut'):
            writer.write(answer[:-1])
            await writer.drain()
            writer.close()
            raise ConnectionError
        writer.write(answer)
        await writer.drain()


def _hello(endpoint):
    return Hello(1, endpoint, endpoint, 'dc', 1, 'calls')


def _store():
    objects = (
        DataCentre('dc', 'r'),
        Service('s'),
        Endpoint('far', 's', 'dc', 64, 120),
        Route('r', '/', 's', open=True, limit='l'),
    )
    store = SnapshotStore()
    store.install(Snapshot(1, b'', {object_id(item): item for item in objects}))
    return store


class Unlimited:
    async def acquire(self, limit_name, timeout_seconds):
        return Ok(None)


@contextlib.asynccontextmanager
async def _serve_call_path(upstream):
    server = await asyncio.start_server(upstream.serve, _HOST, 0, limit=1 << 20)
    port = server.sockets[0].getsockname()[1]
    upstream_client = UpstreamClient(UpstreamSettings(Address(_HOST, port), 64))
    await upstream_client.start()
    transport = StreamTransport(Codec({**CONNECTION_KINDS, **CALL_KINDS}))
    gate = CallServer(upstream_client, _hello('far'))
    listener = await transport.serve(Address(_HOST, 0), gate.accept)
    client = CallClient(
        transport, _hello('near'), lambda endpoint: listener.address
    )
    router = Router(
        _store(),
        LocalEndpoint('near', 'dc'),
        Handlers(client, client),
        LoopClock(),
        Random(1),
    )
    config = ingress_config(
        Ingress(_store(), Unlimited(), router, Random(2)), _HOST, 0
    )
    config.load()
    http = uvicorn.Server(config)
    http.lifespan = config.lifespan_class(config)
    await http.startup()
    try:
        yield http.servers[0].sockets[0].getsockname()[1]
    finally:
        await http.shutdown()
        await client.close()
        await listener.close()
        await upstream_client.stop()
        server.close()


async def _exchange(port, target, body=b''):
    reader, writer = await asyncio.open_connection(_HOST, port)
    writer.write(
        b'POST %b HTTP/1.1\r\nHost: m\r\nConnection: close\r\n'
        b'Content-Length: %d\r\n\r\n%b' % (target, len(body), body)
    )
    try:
        answer = b''
        while piece := await reader.read(65536):
            answer += piece
        return answer
    finally:
        writer.close()


def test_every_caller_gets_the_whole_answer_to_its_own_request():
    """Calls that share a connection could receive each other's answers."""

    async def scenario():
        async with _serve_call_path(Upstream()) as port:
            sizes = (0, 1, 16_384, 16_385, 70_000, 400_000)
            bodies = [
                Random(n).randbytes(sizes[n % len(sizes)]) for n in range(60)
            ]
            answers = await asyncio.gather(
                *(
                    _exchange(port, b'/%d' % n, body)
                    for n, body in enumerate(bodies)
                )
            )
            for n, (body, answer) in enumerate(
                zip(bodies, answers, strict=True)
            ):
                assert answer.startswith(b'HTTP/1.1 200 OK')
                content = answer.partition(b'\r\n\r\n')[2]
                assert content == b'/%d|' % n + body

    asyncio.run(scenario())


@pytest.mark.parametrize(('size', 'status'), [(10, 502), (100_000, 200)])
def test_truncation_by_the_upstream_shows_at_the_caller(size, status):
    """A truncated answer must not look complete after two hops."""

    async def scenario():
        async with _serve_call_path(Upstream()) as port:
            return await _exchange(port, b'/cut', bytes(size))

    answer = asyncio.run(scenario())
    assert answer.startswith(b'HTTP/1.1 %d' % status)
    if status == 200:
        assert len(answer.partition(b'\r\n\r\n')[2]) < size + len(b'/cut|')


def test_disconnected_caller_ends_the_request_at_the_upstream():
    """A request must not run on at the upstream without a caller.

    It does if the caller disconnects and the cancellation is not forwarded
    from the ingress to the gate and from there to the upstream.
    """

    async def scenario():
        upstream = Upstream()
        async with _serve_call_path(upstream) as port:
            task = asyncio.ensure_future(_exchange(port, b'/wait'))
            async with asyncio.timeout(5):
                await upstream.began.wait()
                assert not upstream.ended.is_set()
                task.cancel()
                await upstream.ended.wait()

    asyncio.run(scenario())
