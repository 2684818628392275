"""Tests of copies that are split over reads or end their connection."""

import asyncio

import pytest
from test_answer_copies import (
    FIRST,
    OWN,
    Outcome,
    Server,
    SilentTransport,
    finish,
    is_own,
    receive,
    turn,
)

from wagtailline_sidecar.client_connection import AnswerMalformed


class LosingTransport(SilentTransport):
    """Transport whose connection is lost when it is aborted, as sockets'."""

    def __init__(self, connection) -> None:
        super().__init__()
        self.connection = connection

    def abort(self) -> None:
        super().abort()
        asyncio.get_running_loop().call_soon(
            self.connection.connection_lost, None
        )


# Guards against a body without a length that has taken a copy and looks
# complete because this side closed the connection (MIXED).
async def test_body_without_a_length_that_took_a_copy_is_no_answer():
    server = Server()
    await server.use()
    server.transport = LosingTransport(server.connection)
    server.connection.connection_made(server.transport)
    task = await server.begin(b'two')
    head, _, _ = OWN.partition(b'\r\nContent-Length')
    await server.send(head + b'\r\n\r\nhello')
    await turn()
    await server.send(FIRST)
    outcome = await finish(task)
    assert outcome == Outcome(AnswerMalformed)


# Guards against a torn response that the first bytes of a copy complete: right
# seal and length, other bytes (MIXED).
@pytest.mark.parametrize('missing', range(1, 31))
async def test_torn_response_that_a_copy_completes_is_no_answer(missing):
    outcome = await receive(OWN[:-missing] + FIRST)
    assert outcome == Outcome(AnswerMalformed)


# Guards against the status of a copy on the response that ran, when the joined
# first line arrives in two reads (REFUSED, MIXED).
@pytest.mark.parametrize('length', range(1, 12))
async def test_joined_first_line_in_two_reads_is_no_answer(length):
    torn = b'HTTP/1.1 503 Phr'
    outcome = await receive(torn, OWN[:length], OWN[length:])
    assert outcome == Outcome(AnswerMalformed)


@pytest.mark.xfail(strict=True, reason='KNOWN-RED.txt: quoted status line')
async def test_header_that_quotes_a_status_line_is_delivered():
    """Guards against sound responses that are taken for torn ones."""
    quoting = b'X-Note: got HTTP/1.1 200 OK\r\nX-Id'
    assert is_own(await receive(OWN.replace(b'X-Id', quoting)))
