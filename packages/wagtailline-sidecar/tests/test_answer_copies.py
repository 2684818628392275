"""Tests of responses that a faulty server sends again, late or in part."""

import asyncio
from itertools import chain
from typing import NamedTuple

import pytest
from _peers import read_head, serve_script

from wagtailline.calls import BodyTruncated, WholeBody
from wagtailline_sidecar.client_connection import (
    MAX_BUFFERED_BYTES,
    AnswerMalformed,
    AnswerMissing,
    ClientConnection,
    ClientRequest,
    open_connection,
)

NAME = b'x-id'
# Turns of the event loop after which an exchange has taken what arrived.
TURNS = 8
SEAL = b'x-seal'
BODY = b'the body of the second request'


def make_request(request_id: bytes, method: str = 'GET') -> ClientRequest:
    echo = NAME, request_id
    return ClientRequest(method, '/', ((b'host', b'a'), echo), echo)


def encode(
    request_id: bytes,
    body: bytes,
    *,
    status: int = 200,
    is_named: bool = True,
    is_chunked: bool = False,
    is_framed: bool = True,
    is_length_last: bool = True,
) -> bytes:
    """Return a response with a seal of its request and other headers."""
    named = [b'X-Id: ' + request_id] if is_named else []
    lines = [*named, b'X-Seal: seal.' + request_id, b'Keep-Alive: timeout=10']
    content = body
    if is_chunked:
        framing = b'Transfer-Encoding: chunked'
        content = b'%x\r\n%b\r\n0\r\n\r\n' % (len(body), body)
    else:
        framing = b'Content-Length: %d' % len(body)
    if is_framed:
        lines.insert(len(lines) if is_length_last else 0, framing)
    head = b'HTTP/1.1 %d Phrase\r\n' % status + b'\r\n'.join(lines)
    return head + b'\r\n\r\n' + content


FIRST = encode(b'one', b'the body of the first request')
OWN = encode(b'two', BODY)


class SilentTransport(asyncio.Transport):
    """Transport that sends nothing and remembers whether it was aborted."""

    def __init__(self) -> None:
        super().__init__()
        self.is_aborted = False

    def write(self, content) -> None:
        """Drop the content."""

    def abort(self) -> None:
        self.is_aborted = True

    def pause_reading(self) -> None:
        """Go on: the tests send what they like."""

    def resume_reading(self) -> None:
        """Go on."""


class Outcome(NamedTuple):
    """What an exchange returned at once; ``error`` is None for a response."""

    error: type[Exception] | None
    status: int = 0
    seals: tuple[bytes, ...] = ()
    body: bytes = b''


class Server:
    """Server side of a connection without sockets."""

    def __init__(self) -> None:
        self.transport = SilentTransport()
        self.connection = ClientConnection()
        self.connection.connection_made(self.transport)

    async def begin(self, request_id: bytes, method: str = 'GET'):
        request = make_request(request_id, method)
        task = asyncio.ensure_future(
            self.connection.exchange(request, WholeBody())
        )
        await turn()
        return task

    async def send(self, *parts: bytes) -> None:
        for part in parts:
            if not self.transport.is_aborted:
                self.connection.data_received(part)

    async def use(self) -> None:
        """Carry the first request, after which the connection is kept."""
        task = await self.begin(b'one')
        await self.send(FIRST)
        await turn()
        assert task.result().status == 200
        assert self.connection.is_reusable


async def turn() -> None:
    for _ in range(TURNS):
        await asyncio.sleep(0)


async def finish(task) -> Outcome | None:
    """Return the outcome, or None if the exchange still waits."""
    await turn()
    if not task.done():
        task.cancel()
        await turn()
        return None
    error = task.exception()
    if error is not None:
        assert isinstance(error, AnswerMalformed | AnswerMissing)
        return Outcome(type(error))
    response = task.result()
    seals = tuple(value for name, value in response.headers if name == SEAL)
    return Outcome(None, response.status, seals, response.body.content)


async def receive(*parts: bytes, method: str = 'GET') -> Outcome | None:
    """Send parts to the second request on a connection."""
    server = Server()
    await server.use()
    task = await server.begin(b'two', method)
    await server.send(*parts)
    return await finish(task)


def is_own(outcome: Outcome) -> bool:
    return outcome == Outcome(None, 200, (b'seal.two',), BODY)


# Guards against the response to another caller with status 200 (MIXED).
@pytest.mark.parametrize('status', [200, 204, 500, 503])
@pytest.mark.parametrize('is_framed', [True, False])
async def test_copy_without_the_name_of_its_request_is_no_answer(
    status, is_framed
):
    copy = encode(
        b'one', b'', status=status, is_named=False, is_framed=is_framed
    )
    assert await receive(copy, OWN) == Outcome(AnswerMalformed)


async def test_first_response_of_a_connection_needs_no_name():
    """Guards against the loss of all responses that name no request."""
    server = Server()
    task = await server.begin(b'two')
    await server.send(encode(b'two', BODY, is_named=False))
    assert is_own(await finish(task))
    assert not server.connection.is_reusable


VARIANTS = (
    {},
    {'is_length_last': False},
    {'is_chunked': True},
    {'status': 503},
    {'is_named': False, 'status': 503},
    {'is_framed': False},
)


# Guards against responses joined with torn copies, and against callers that
# wait until their deadline for bytes that a torn copy took (MIXED).
@pytest.mark.parametrize('variant', VARIANTS)
@pytest.mark.parametrize('body', [b'x', b'y' * 60, b'z' * 1000])
async def test_response_behind_a_torn_copy_is_whole_or_refused_at_once(
    variant, body
):
    copy = encode(b'one', body, **variant)
    for length in range(1, len(copy)):
        outcome = await receive(copy[:length], OWN)
        assert outcome is not None, copy[:length]
        assert is_own(outcome) or outcome.error, copy[:length]


# Guards against a torn copy that takes the response, and a torn copy of that
# response which later bytes complete: right seal, other body (MIXED).
@pytest.mark.parametrize('body', [b'', b'y' * 60, b'z' * 217])
async def test_torn_copies_one_after_the_other_make_no_answer(body):
    copy = encode(b'one', body)
    for length in range(1, len(copy), 3):
        for own_length in chain(range(1, len(OWN), 7), [len(OWN) - 1]):
            parts = copy[:length], OWN, OWN[:own_length], copy, copy
            outcome = await receive(*parts)
            assert outcome is not None, parts
            assert is_own(outcome) or outcome.error, parts


# Guards against the begin of a copy that stays in the parser and is joined
# to the next response on the connection (MIXED).
@pytest.mark.parametrize('is_apart', [True, False])
async def test_begin_of_a_copy_behind_a_response_ends_the_connection(is_apart):
    for length in range(1, len(FIRST)):
        server = Server()
        task = await server.begin(b'one')
        behind = FIRST[:length]
        await server.send(*([FIRST, behind] if is_apart else [FIRST + behind]))
        await turn()
        assert task.result().status == 200, behind
        assert not server.connection.is_reusable, behind


# Guards against a body of the right length with bytes of another (MIXED).
@pytest.mark.parametrize('length', [len(OWN) - len(BODY), len(OWN) - 3])
@pytest.mark.parametrize('copy', [FIRST, OWN])
async def test_copy_within_a_body_makes_no_answer(copy, length):
    torn = OWN.replace(b'Length: 30', b'Length: 160')
    assert len(torn) == len(OWN) + 1
    outcome = await receive(torn[: length + 1], copy, copy, copy)
    assert outcome == Outcome(AnswerMalformed)


async def test_copy_within_a_streamed_body_truncates_it():
    """Guards against a large body that looks whole with other bytes in it."""
    half = b'x' * MAX_BUFFERED_BYTES
    large = encode(b'two', half + half)
    server = Server()
    await server.use()
    task = await server.begin(b'two')
    await server.send(large[: MAX_BUFFERED_BYTES + 1000])
    await turn()
    body = task.result().body
    await server.send(FIRST, half, half)
    with pytest.raises(BodyTruncated):
        async for _ in body:
            await turn()


@pytest.mark.parametrize(
    'body',
    [
        b'GET / HTTP/1.1\r\nX-Id: two\r\nHost: a\r\n\r\n',
        b'HTTP/1.1 200 OK\r\n\r\nhello',
        b'one two X-Id: one',
    ],
)
async def test_body_that_speaks_of_requests_is_delivered(body):
    """Guards against bodies that are refused for what they tell."""
    outcome = await receive(encode(b'two', body))
    assert outcome.body == body


async def test_header_that_names_a_protocol_is_delivered():
    """Guards against sound responses that are taken for torn ones."""
    via = b'Via: HTTP/1.1 proxy\r\nX-Id'
    assert is_own(await receive(OWN.replace(b'X-Id', via)))


# Guards against callers that wait until their deadline behind a copy that
# ends with its connection.
async def test_copy_without_a_length_fails_the_exchange_at_once():
    copy = encode(b'one', b'hello', is_framed=False)
    assert await receive(copy) == Outcome(AnswerMalformed)


@pytest.mark.parametrize('lines', [b'one\r\nX-Id: two', b'two\r\nX-Id: one'])
async def test_response_that_names_two_requests_is_no_answer(lines):
    """Guards against a joined response that is taken for the own one."""
    outcome = await receive(OWN.replace(b'X-Id: two', b'X-Id: ' + lines))
    assert outcome == Outcome(AnswerMalformed)


@pytest.mark.parametrize('variant', [{}, {'is_chunked': True}])
@pytest.mark.parametrize('status', [500, 204])
async def test_whole_copy_costs_nothing(variant, status):
    """Guards against callers that pay for copies that can be told apart."""
    copy = encode(b'one', b'first', status=500, **variant)
    if status == 204:
        copy = encode(b'one', b'', status=204, is_framed=False)
    interim = b'HTTP/1.1 100 Continue\r\n\r\n'
    assert is_own(await receive(copy, interim, copy + OWN))


async def test_copy_over_sockets_is_no_answer():
    """Guards against tests that know only a simulated transport."""

    async def script(reader, writer):
        await read_head(reader)
        writer.write(FIRST)
        await read_head(reader)
        writer.write(encode(b'one', b'first', is_named=False))
        await reader.read()

    server, address = await serve_script(script)
    connection = await open_connection(address, 1)
    async with asyncio.timeout(5):
        await connection.exchange(make_request(b'one'), WholeBody())
        with pytest.raises(AnswerMalformed):
            await connection.exchange(make_request(b'two'), WholeBody())
    connection.close()
    server.close()
