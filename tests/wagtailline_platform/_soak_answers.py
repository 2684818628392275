"""Answers as a client of a soak reads them, with each framing."""

import asyncio
import re
from typing import NamedTuple

from _daemons import HOST
from _soak_record import Sent

from wagtailline.ports import Address

READ_TIMEOUT_SECONDS = 5.0
MAX_BODY_BYTES = 8_000_000
_READ_BYTES = 65_536
_STATUS_LINE = re.compile(rb'HTTP/1\.1 ([1-5]\d\d) ')


class Answer(NamedTuple):
    """Answer to a request, or as much of it as came."""

    status: int
    fields: dict[str, str]
    body: bytes
    is_whole: bool

    @property
    def closes(self) -> bool:
        is_framed = {'content-length', 'transfer-encoding'} & self.fields.keys()
        is_kept = self.fields.get('connection') != 'close'
        return not (self.is_whole and is_framed and is_kept)


class NotAnAnswer(Exception):
    """Bytes came that are no answer in the protocol."""


async def read_answer(
    reader: asyncio.StreamReader, seconds: float, pause_seconds: float = 0
) -> Answer | None:
    """Return an answer, or None if its head did not come in time.

    Pauses after each read of the body. Raises NotAnAnswer.
    """
    body = bytearray()
    status, fields, is_whole = 0, {}, False
    try:
        async with asyncio.timeout(seconds):
            head = await reader.readuntil(b'\r\n\r\n')
            status, fields = _parse_head(head)
            async for part in _read_parts(reader, fields):
                body += part
                if len(body) > MAX_BODY_BYTES:
                    break
                if pause_seconds:
                    await asyncio.sleep(pause_seconds)
            else:
                is_whole = True
    except asyncio.LimitOverrunError as problem:
        raise NotAnAnswer('a head without end') from problem
    except (OSError, TimeoutError, EOFError):
        pass
    return Answer(status, fields, bytes(body), is_whole) if status else None


def encode_request(sent: Sent, target: str, key: str = '') -> bytes:
    """Return a request with what is left of its time."""
    now = asyncio.get_running_loop().time()
    method = 'POST' if sent.is_unsafe else 'GET'
    lines = [
        f'{method} {target} HTTP/1.1',
        f'Host: {HOST}',
        f'X-Attempt-Id: {sent.request_id}',
        f'X-Deadline-Ms: {max(int((sent.ends_at - now) * 1000), 1)}',
    ]
    if key:
        lines.append(f'Authorization: Bearer {key}')
    if sent.is_unsafe:
        lines.append('Content-Length: 0')
    return '\r\n'.join((*lines, '\r\n')).encode()


async def exchange_once(
    address: Address, sent: Sent, target: str
) -> Answer | None:
    """Send a request on a connection of its own and return the answer."""
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return None
    seconds = sent.ends_at - asyncio.get_running_loop().time()
    try:
        writer.write(encode_request(sent, target))
        return await read_answer(reader, max(seconds, 0))
    finally:
        writer.close()


def _parse_head(head: bytes) -> tuple[int, dict[str, str]]:
    match = _STATUS_LINE.match(head)
    if match is None:
        raise NotAnAnswer(repr(head[:100]))
    lines = head.decode('latin-1').strip().split('\r\n')[1:]
    fields = dict(line.split(': ', 1) for line in lines)
    return int(match[1]), {name.lower(): fields[name] for name in fields}


async def _read_parts(reader: asyncio.StreamReader, fields: dict[str, str]):
    if 'content-length' in fields:
        left = int(fields['content-length'])
        while left:
            part = await reader.read(min(left, _READ_BYTES))
            if not part:
                raise EOFError
            left -= len(part)
            yield part
    elif 'transfer-encoding' in fields:
        while size := _parse_size(await reader.readuntil(b'\r\n')):
            yield await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b'\r\n')
    else:
        while part := await reader.read(_READ_BYTES):
            yield part


def _parse_size(line: bytes) -> int:
    try:
        return int(line, 16)
    except ValueError as problem:
        raise NotAnAnswer(repr(line[:100])) from problem
