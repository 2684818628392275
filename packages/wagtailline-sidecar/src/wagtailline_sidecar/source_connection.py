"""Persistent HTTP connection on which the source is read."""

import asyncio
from typing import NamedTuple

from wagtailline.calls import Body, BodyTruncated, Headers, WholeBody
from wagtailline.ports import Address
from wagtailline_sidecar.client_connection import (
    AnswerMalformed,
    AnswerMissing,
    ClientConnection,
    ClientRequest,
    ConnectionFailed,
    open_connection,
)
from wagtailline_sidecar.source_replica import SourceFailed

# An answer that stops flowing for this time is given up.
SILENCE_SECONDS = 0.7
# The source limits pages to 1 MiB before they are encoded.
MAX_ANSWER_BYTES = 4 * 1024 * 1024


class AnswerTooLarge(SourceFailed):
    """The source sent more than a page can hold."""

    def __init__(self, size_bytes: int) -> None:
        """Take the size of what arrived before the answer was given up."""
        super().__init__(f'AnswerTooLarge {size_bytes}')


class SourceAnswer(NamedTuple):
    """Status, headers and whole body of an answer; how long it arrived."""

    status: int
    headers: Headers
    content: bytes
    transfer_seconds: float


CONNECTION_ERRORS = (
    BodyTruncated,
    ConnectionFailed,
    AnswerMissing,
    AnswerMalformed,
)


class SourceConnection:
    """Connection to the source that is opened again when it has ended."""

    def __init__(self, address: Address) -> None:
        """Set up a connection that opens with the first request."""
        self._address = address
        self._connection: ClientConnection | None = None

    async def get(self, target: str, wait_seconds: float = 0) -> SourceAnswer:
        """Return the answer to a GET request, which may take as it flows.

        Raises TimeoutError when nothing arrives for ``wait_seconds`` plus
        ``SILENCE_SECONDS``, AnswerTooLarge, or one of ``CONNECTION_ERRORS``.
        """
        connection = self._connection
        if connection is None or not connection.is_reusable:
            connection = await open_connection(self._address, SILENCE_SECONDS)
            self._connection = connection
        host = f'{self._address.host}:{self._address.port}'.encode()
        answer = await connection.exchange_while_flowing(
            ClientRequest('GET', target, ((b'host', host),)),
            WholeBody(),
            wait_seconds + SILENCE_SECONDS,
        )
        try:
            content = await _read_whole(answer.body)
        except AnswerTooLarge:
            self.close()
            raise
        now = asyncio.get_running_loop().time()
        began_at = connection.first_byte_at or now
        return SourceAnswer(
            answer.status, answer.headers, content, now - began_at
        )

    def close(self) -> None:
        """Close the connection, on which a late answer could arrive."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()


async def _read_whole(body: Body) -> bytes:
    """Return a whole body; raise AnswerTooLarge above the limit."""
    if isinstance(body, WholeBody):
        return body.content
    parts: list[bytes] = []
    size_bytes = 0
    async for part in body:
        parts.append(part)
        size_bytes += len(part)
        if size_bytes > MAX_ANSWER_BYTES:
            raise AnswerTooLarge(size_bytes)
    return b''.join(parts)
