"""Tests of the ingress with raw bytes to a real HTTP server on loopback."""

import asyncio
import contextlib
import json
import logging
from random import Random
from typing import NamedTuple

import pytest
import uvicorn
from result import Err, Ok

from wagtailline.calls import Answer, BodyTruncated, Refusal, WholeBody
from wagtailline.objects import (
    ClientAccount,
    DataCentre,
    Endpoint,
    Key,
    Limit,
    Route,
    Service,
    object_id,
)
from wagtailline.snapshot import Snapshot, SnapshotStore
from wagtailline_daemon.ingress import (
    Ingress,
    IngressProtocol,
    digest_key,
    ingress_config,
)

_KEY = b'k3y-of-studio-0123456789'
_AUTH = b'Authorization: Bearer ' + _KEY + b'\r\n'
_HOST = b'Host: mesh\r\n'
_GET = b'GET /proofs/1 HTTP/1.1\r\n' + _HOST + _AUTH
_POST = b'POST /proofs HTTP/1.1\r\n' + _HOST + _AUTH
_CHUNKED = b'Transfer-Encoding: chunked\r\n'
_OFFER = (
    b'Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n'
    b'HTTP2-Settings: AAMAAABkAAQAAP__\r\n'
)
_OTHER_OFFER = (
    b'Upgrade: websocket, foo/2\r\nConnection: keep-alive, upgrade\r\n'
)
_BODY = b'hello' * 200
# Bounds a test whose answers don't come; no test asserts a duration.
_ANSWERS_SECONDS = 5.0
_FRAMINGS = {
    'length': b'Content-Length: %d\r\n\r\n%b' % (len(_BODY), _BODY),
    'chunks': _CHUNKED
    + b'\r\n1\r\nh\r\n%x\r\n%b\r\n0\r\n\r\n' % (len(_BODY) - 1, _BODY[1:]),
    'chunks and trailers': _CHUNKED
    + b'\r\n%x\r\n%b\r\n0\r\nX-Late: 1\r\n\r\n' % (len(_BODY), _BODY),
}


class Exhausted(NamedTuple):
    reason: str = 'spent'
    retry_after_ms: int = 1500


class StubRouter:
    """Stub of router and allowance.

    It records calls, and words in the target select its answers.
    """

    def __init__(self):
        self.calls = []
        self.began = asyncio.Event()
        self.cancelled = asyncio.Event()
        self.has_tokens = True
        self.produced = 0

    async def acquire(self, limit_name, timeout_seconds):
        return Ok(None) if self.has_tokens else Err(Exhausted())

    async def __call__(self, request, body):
        if 'stream' in request.target:
            self.body = body
            return Ok(Answer(200, (), self._stream()))
        if 'raise' in request.target:
            raise ValueError(request.target)
        content = b''.join([piece async for piece in body])
        self.calls.append((request, content))
        self.began.set()
        if 'wait' in request.target:
            try:
                await asyncio.sleep(60)
            finally:
                self.cancelled.set()
        if 'cut' in request.target:
            return Ok(Answer(200, (), _cut_body()))
        if 'refuse' in request.target:
            return Err(Refusal('overload', 'no', 3000))
        if 'lost' in request.target:
            return Err(Refusal('upstream_reset', 'unknown'))
        echo = request.target.encode() + b'|' + content
        headers = (
            (b'Content-Length', b'%d' % len(echo)),
            (b'Connection', b'x-hop'),
            (b'X-Hop', b'1'),
        )
        return Ok(Answer(200, headers, WholeBody(echo)))

    async def _stream(self):
        for _ in range(200):
            self.produced += 1
            yield bytes(1 << 20)


async def _cut_body():
    yield b'part'
    raise BodyTruncated


def _store():
    objects = (
        DataCentre('dc', 'r'),
        Service('s'),
        Endpoint('s-0', 's', 'dc', 6, 120),
        Limit('l', 5.0, 5),
        ClientAccount('studio', 'l'),
        ClientAccount('other', 'l'),
        Key('k', 'studio', digest_key(_KEY)),
        Route('proofs', '/proofs', 's'),
        Route('others', '/others', 's', client_accounts=('other',)),
        Route('public', '/public', 's', open=True, limit='l'),
    )
    store = SnapshotStore()
    store.install(Snapshot(7, b'', {object_id(item): item for item in objects}))
    return store


@contextlib.asynccontextmanager
async def _serve(router, store=None):
    app = Ingress(store or _store(), router, router, Random(1))
    config = ingress_config(app, '127.0.0.1', 0)
    server = uvicorn.Server(config)
    server.config.load()
    server.lifespan = config.lifespan_class(config)
    await server.startup()
    try:
        yield server.servers[0].sockets[0].getsockname()[1]
    finally:
        await server.shutdown()


async def _send_parts(port, *parts):
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    with contextlib.suppress(ConnectionError):
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0.02)
    answer = b''
    with contextlib.suppress(ConnectionError, TimeoutError):
        async with asyncio.timeout(0.3):
            while piece := await reader.read(65536):
                answer += piece
    writer.close()
    return answer


def _request(*parts, router_setup=lambda router: None):
    async def scenario():
        router = StubRouter()
        router_setup(router)
        async with _serve(router) as port:
            return await _send_parts(port, *parts), router

    return asyncio.run(scenario())


def _chunked_post(tail, more_headers=b''):
    return (_POST + more_headers + _CHUNKED + b'\r\n3\r\nabc\r\n' + tail,)


@pytest.mark.parametrize(
    'parts',
    [
        (_POST + b'Content-Length: 3\r\n' + _CHUNKED + b'\r\n0\r\n\r\n',),
        (_POST + _CHUNKED + b'Content-Length: 3\r\n\r\n0\r\n\r\n',),
        (_POST + b'Content-Length: 3\r\n' * 2 + b'\r\nabc',),
        (_POST + b'Content-Length: 3, 3\r\n\r\nabc',),
        (_POST + b'Content-Length: +3\r\n\r\nabc',),
        (_POST + b'Content-Length : 3\r\n\r\nabc',),
        (_POST + b'Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n',),
        (_POST + b'Transfer-Encoding: identity\r\n' + _CHUNKED + b'\r\n',),
        (_POST + _CHUNKED * 2 + b'\r\n0\r\n\r\n',),
        (_POST + b'Transfer-Encoding: \x0bchunked\r\n\r\n0\r\n\r\n',),
        (_GET + b'X: a\r\n b\r\n\r\n',),
        (_GET + b'X: a\r\n', b'\tb\r\n\r\n'),
        (_POST + b'Transfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n',),
        (b'GET /proofs HTTP/1.1\nHost: a\n\n',),
        (_GET + b'X: a\nY: b\r\n\r\n',),
        (_GET + b'X: a\0b\r\n\r\n',),
        (_GET + b'Host: other\r\n\r\n',),
        (_GET + _AUTH + b'\r\n',),
        (b'GET /proofs HTTP/1.1\r\n' + _AUTH + b'\r\n',),
        (_GET + b'Connection: authorization\r\n\r\n',),
        (_GET + b'X: \xff\r\n\r\n',),
        (_GET.replace(b'/proofs/1', b'http://b/proofs') + b'\r\n',),
        (b'CONNECT mesh:80 HTTP/1.1\r\n' + _HOST + _AUTH + b'\r\n',),
        (_GET.replace(b'/proofs', b'/public/../proofs') + b'\r\n',),
        (_GET.replace(b'/proofs', b'/public/%2e%2e/proofs') + b'\r\n',),
        (_GET.replace(b'/proofs', b'/public/..;/proofs') + b'\r\n',),
        (_GET.replace(b'/proofs', b'//proofs') + b'\r\n',),
        (_GET.replace(b'/proofs', b'/%70roofs') + b'\r\n',),
        (_GET.replace(b'/proofs/1', b'/proofs?k=' + _KEY) + b'\r\n',),
        (_GET + b'Wagtailline-Timeout-Ms: 1e3\r\n\r\n',),
        (_POST + _OFFER + b'Content-Length: 3\r\n' + _CHUNKED
         + b'\r\n0\r\n\r\n',),
        (_POST + _OFFER + b'Content-Length: 3\r\n' * 2 + b'\r\nabc',),
        (_GET + _OFFER + b'Connection: authorization\r\n\r\n',),
        (_GET + _OFFER + b'X: \xff\r\n\r\n',),
        (_GET.replace(b'GET', b'CONNECT') + b'\r\n',),
        (_GET.replace(b'GET', b'CONNECT') + _OFFER + b'\r\n',),
    ],
)  # fmt: skip
def test_malformed_request_is_refused(parts):
    """Input that two servers parse differently permits request smuggling."""
    answer, router = _request(*parts)
    assert answer.startswith(b'HTTP/1.1 400 '), answer
    assert b'"executed": "no"' in answer
    assert router.calls == []


@pytest.mark.parametrize('version', [b'0.9', b'1.0', b'2.0'])
def test_other_versions_are_refused(version):
    """HTTP/1.0 has no framing that reveals a truncated answer."""
    answer, router = _request(_GET.replace(b'1.1', version) + b'\r\n')
    assert answer.startswith(b'HTTP/1.1 505 '), answer
    assert router.calls == []


def test_bytes_after_a_refused_request_start_no_request():
    """The body of a refused request must not be parsed as another request."""
    smuggled = _GET + b'\r\n'
    answer, router = _request(
        _POST + _CHUNKED + b'Content-Length: 3\r\n\r\n0\r\n\r\n' + smuggled,
        smuggled,
    )
    assert answer.count(b'HTTP/1.1') == 1
    assert router.calls == []


def test_bytes_after_an_upgrade_start_no_request():
    """After an upgrade request, uvicorn drops the rest of the received data.

    It would parse the data that arrives next as the head of a request.
    """
    head = _GET + b'Connection: upgrade\r\nUpgrade: h2c\r\n\r\n'
    following = _POST + b'Content-Length: 99\r\n\r\n'
    answer, router = _request(head + following, _GET + b'\r\n')
    assert answer.count(b'HTTP/1.1') == 1
    assert len(router.calls) == 1


def _split_bodies(answer):
    parts = answer.split(b'HTTP/1.1 200 OK\r\n')[1:]
    return [part.partition(b'\r\n\r\n')[2] for part in parts]


def _request_in_pieces(content, size):
    async def scenario():
        router = StubRouter()
        async with _serve(router) as port:
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            for start in range(0, len(content), size):
                writer.write(content[start : start + size])
                await asyncio.sleep(0)
            answer = b''
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_ANSWERS_SECONDS):
                    while piece := await reader.read(65536):
                        answer += piece
                        if answer.count(b'/proofs/') == 3:
                            break
            writer.close()
            return answer, router

    return asyncio.run(scenario())


@pytest.mark.parametrize('size', [1, 7, 100, 100_000])
@pytest.mark.parametrize('offer', [_OFFER, _OTHER_OFFER])
@pytest.mark.parametrize('framing', _FRAMINGS)
def test_request_that_offers_a_protocol_keeps_its_body(framing, offer, size):
    """Guards against a lost body, and against a refusal of a sound request.

    The parser skips the body of a request whose head offers an upgrade.
    """
    post = _POST.replace(b'/proofs', b'/proofs/x')
    request = post + offer + _FRAMINGS[framing]
    answer, router = _request_in_pieces(request * 2 + _GET + b'\r\n', size)
    served = b'/proofs/x|' + _BODY
    assert _split_bodies(answer) == [served, served, b'/proofs/1|']
    assert [content for _, content in router.calls] == [_BODY, _BODY, b'']


def test_request_without_a_body_that_offers_a_protocol_is_served():
    """Guards against input that is dropped behind an offer."""
    head = _GET + _OFFER + b'\r\n'
    answer, router = _request(head + head, _GET + b'\r\n')
    assert _split_bodies(answer) == [b'/proofs/1|'] * 3
    assert len(router.calls) == 3


def test_offer_is_not_passed_on():
    """Guards against an upstream that accepts what the daemon can't."""
    _, router = _request(_GET + _OFFER + b'X-Kept: 1\r\n\r\n')
    ((request, _),) = router.calls
    assert request.headers == ((b'host', b'mesh'), (b'x-kept', b'1'))


def test_endless_head_with_an_offer_is_refused():
    """Guards against an offer that takes a head past the limit."""
    lines = (b'X: ' + b'a' * 1_000 + b'\r\n') * 70
    answer, router = _request(_GET + _OFFER + lines + b'\r\n')
    assert answer.startswith(b'HTTP/1.1 431 ')
    assert router.calls == []


@pytest.mark.parametrize('seed', range(40))
def test_any_sound_head_carries_its_whole_body(seed):
    """Guards against parts of heads that alter a request together."""
    random = Random(seed)
    lines = [
        b'Upgrade: h2c\r\n',
        b'Upgrade: websocket\r\n',
        b'Connection: Upgrade\r\n',
        b'Connection: keep-alive\r\n',
        b'HTTP2-Settings: AA\r\n',
        b'TE: trailers\r\n',
        b'Trailer: X-Late\r\n',
        b'X-Own: Upgrade: h2c\r\n',
    ]
    chosen = random.sample(lines, random.randint(1, 6))
    body = random.randbytes(random.randint(0, 3000))
    framing = b'Content-Length: %d\r\n\r\n%b' % (len(body), body)
    if random.random() < 0.5:
        size = random.randint(1, 900)
        parts = [body[i : i + size] for i in range(0, len(body), size)]
        chunks = b''.join(b'%x\r\n%b\r\n' % (len(p), p) for p in parts)
        framing = _CHUNKED + b'\r\n' + chunks + b'0\r\n\r\n'
    post = _POST.replace(b'/proofs', b'/proofs/x')
    content = (
        post + b''.join(chosen) + framing + _GET + b'\r\n' + _GET + b'\r\n'
    )
    _, router = _request_in_pieces(content, random.randint(1, 4000))
    assert [content for _, content in router.calls] == [body, b'', b'']


def test_key_and_reserved_headers_stay_at_the_ingress(caplog):
    """An API key must reach no upstream and no log, whichever header has it."""
    caplog.set_level(logging.DEBUG)
    answer, router = _request(
        b'POST /proofs HTTP/1.1\r\n'
        + _HOST
        + b'aUTHORIZATION:\tbeaREr '
        + _KEY
        + b' \r\nProxy-Authorization: Basic '
        + _KEY
        + b'\r\nX-Copy: <'
        + _KEY
        + b'>\r\nWagtailline-Client-Account: other\r\nWAGTAILLINE_DEPTH: 1\r\n'
        b'Wagtailline-Timeout-Ms: 250\r\nWagtailline-Depth: 3\r\n'
        b'Idempotency-Key: i1\r\nConnection: X-Hop\r\nX-Hop: 1\r\nTE: x\r\n'
        b'Expect: 100-continue\r\nX-Kept: 1\r\n'
        + _CHUNKED
        + b'\r\n3\r\nabc\r\n0\r\nAuthorization: Bearer '
        + _KEY
        + b'\r\nX-Trailer: 1\r\n\r\n'
    )
    ((request, content),) = router.calls
    assert request.headers == (
        (b'host', b'mesh'),
        (b'idempotency-key', b'i1'),
        (b'x-kept', b'1'),
    )
    assert content == b'abc'
    assert request.client_account == 'studio'
    assert request.key_digest == digest_key(_KEY)
    assert (request.timeout_ms, request.depth) == (250, 3)
    assert (request.version, request.idempotency_key) == (7, 'i1')
    assert _KEY.decode() not in repr(request) + caplog.text
    assert b'x-hop' not in answer.lower()


@pytest.mark.parametrize(
    ('head', 'status', 'executed'),
    [
        (b'GET /proofs HTTP/1.1\r\n' + _HOST, 401, 'no'),
        (_GET.replace(_KEY, b'wrong'), 401, 'no'),
        (_GET.replace(b'Bearer', b'Basic'), 401, 'no'),
        (_GET.replace(b'/proofs', b'/others'), 403, 'no'),
        (_GET.replace(b'/proofs', b'/proofses'), 404, 'no'),
        (_GET.replace(b'/proofs', b'/proofs/refuse'), 503, 'no'),
        (_GET.replace(b'/proofs', b'/proofs/lost'), 502, 'unknown'),
        (_GET.replace(b'/proofs', b'/proofs/raise'), 502, 'unknown'),
    ],
)
def test_refusal_is_a_problem_document(head, status, executed):
    """A caller that can't tell whether its request ran may repeat a payment."""
    answer, _ = _request(head + b'\r\n')
    head, _, body = answer.partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 %d ' % status)
    assert b'application/problem+json' in head
    assert json.loads(body)['executed'] == executed
    assert (b'retry-after: ' in head) == (status == 503)


def test_exhausted_allowance_is_429():
    """A request above the rate limit must not reach a gate."""

    def exhaust(router):
        router.has_tokens = False

    answer, router = _request(_GET + b'\r\n', router_setup=exhaust)
    assert answer.startswith(b'HTTP/1.1 429 ')
    assert b'retry-after: ' in answer
    assert router.calls == []


def test_truncated_answer_is_not_terminated():
    """A last chunk after a truncated body would make it look complete."""
    answer, _ = _request(_GET.replace(b'1 ', b'cut ', 1) + b'\r\n')
    assert answer.endswith(b'4\r\npart\r\n')


@pytest.mark.parametrize('tail', [b'x', b'-1\r\n'])
@pytest.mark.parametrize('offer', [b'', _OFFER])
def test_malformed_body_is_refused_as_unknown(offer, tail):
    """The upstream may have begun the request before the malformed part."""
    answer, router = _request(*_chunked_post(tail, offer))
    assert answer.startswith(b'HTTP/1.1 400 ')
    assert router.calls == []


def test_malformed_second_request_does_not_answer_the_first():
    """uvicorn would write the 400 before the answer to the first request."""
    answer, _ = _request(
        _GET.replace(b'1 ', b'lost ', 1) + b'\r\n' + b'bad\r\n'
    )
    assert answer.startswith(b'HTTP/1.1 502 ')
    assert answer.count(b'HTTP/1.1') == 1


def test_endless_head_is_refused():
    """A head without an end would exhaust the memory."""
    answer, _ = _request(_GET + b'X: ', *[b'a' * 30_000] * 3)
    assert answer.startswith(b'HTTP/1.1 431 ')


def test_call_is_cancelled_when_its_caller_leaves():
    """A call without a caller would still occupy a slot of the upstream."""

    async def scenario():
        router = StubRouter()
        async with _serve(router) as port:
            _, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(_GET.replace(b'1 ', b'wait ', 1) + b'\r\n')
            await asyncio.wait_for(router.began.wait(), 5)
            writer.close()
            await asyncio.wait_for(router.cancelled.wait(), 5)

    asyncio.run(scenario())


def test_memory_stays_bounded_while_bodies_stream():
    """Without backpressure in both directions, 200 MB would fill the memory."""

    async def scenario():
        router = StubRouter()
        async with _serve(router) as port:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', port, limit=1 << 20
            )
            head = _POST.replace(b'/proofs', b'/proofs/stream')
            writer.write(head + b'Content-Length: 209715200\r\n\r\n')
            sent = 0
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.5):
                    for _ in range(200):
                        writer.write(bytes(1 << 20))
                        await writer.drain()
                        sent += 1
            progress = router.produced, sent
            received = len(await reader.readexactly(200 << 20))
            writer.transport.abort()
            return progress, received, router.produced

    (produced, sent), received, all_produced = asyncio.run(scenario())
    # Socket buffers of the kernel hold a few megabytes.
    assert max(produced, sent) < 32
    assert received == 200 << 20
    assert all_produced == 200


def test_pipelined_answers_keep_their_order():
    """Pipelined answers are matched to their requests only by order."""
    heads = [_GET.replace(b'1 ', b'%d ' % n, 1) + b'\r\n' for n in range(5)]
    answer, _ = _request(b''.join(heads))
    bodies = [
        part.split(b'\r\n\r\n')[1] for part in answer.split(b'HTTP/1.1')[1:]
    ]
    assert bodies == [b'/proofs/%d|' % n for n in range(5)]


def test_protocol_is_the_configured_one():
    """With uvicorn's own protocol, several of the tests above would fail."""
    config = ingress_config(lambda: None, '127.0.0.1', 0)
    assert config.http is IngressProtocol
    assert not config.access_log
