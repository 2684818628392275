"""Second answers of upstreams that stutter, and answers that never end."""

from collections.abc import Iterator
from enum import StrEnum
from random import Random

_BLOCK_BYTES = 65_536
_HEAD_END = b'\r\n\r\n'
_OK = b'HTTP/1.1 200 X\r\n'


class Copy(StrEnum):
    """What follows an answer on its connection."""

    SAME = 'same'
    FAILED = 'failed'
    UNNAMED = 'unnamed'
    TORN = 'torn'
    HEAD_TORN = 'head torn'
    UNFRAMED = 'unframed'
    CHUNKED = 'chunked'


class Endless(StrEnum):
    """Part of an answer that never ends."""

    HEADERS = 'headers'
    INTERIM = 'interim answers'
    LENGTH = 'body with a length'
    CHUNKS = 'body in chunks'
    BYTE_CHUNKS = 'body in chunks of one byte'
    UNFRAMED = 'body without a length'
    FAILURE = 'body of a failure'


def make_copy(kind: Copy, response: bytes, random: Random) -> bytes:
    """Return what an upstream sends after its response."""
    head, _, body = response.partition(_HEAD_END)
    match kind:
        case Copy.SAME:
            return response
        case Copy.FAILED:
            return response.replace(b' 200 ', b' 500 ', 1)
        case Copy.UNNAMED:
            return _drop_field(head, b'x-attempt-id') + _HEAD_END + body
        case Copy.TORN:
            return response[: len(response) // 2]
        case Copy.HEAD_TORN:
            return head[: random.randint(1, len(head))]
        case Copy.UNFRAMED:
            return _drop_field(head, b'content-length') + _HEAD_END + body
        case Copy.CHUNKED:
            fields = _drop_field(head, b'content-length')
            return b'%b\r\ntransfer-encoding: chunked\r\n\r\n%b0\r\n\r\n' % (
                fields,
                encode_chunk(body) if body else b'',
            )


def make_endless(kind: Endless, fields: bytes) -> Iterator[bytes]:
    """Generate the parts of an answer without end; ``fields`` begin it."""
    filling = b'x' * _BLOCK_BYTES
    head, block = _OK + fields, filling
    match kind:
        case Endless.HEADERS:
            block = b'x-more: more\r\n' * 1000
        case Endless.INTERIM:
            head, block = b'', b'HTTP/1.1 103 X\r\n\r\n' * 1000
        case Endless.LENGTH:
            head += b'content-length: 1000000000000\r\n\r\n'
        case Endless.CHUNKS:
            head += b'transfer-encoding: chunked\r\n\r\n'
            block = encode_chunk(filling)
        case Endless.BYTE_CHUNKS:
            head += b'transfer-encoding: chunked\r\n\r\n'
            block = encode_chunk(b'x') * 1000
        case Endless.UNFRAMED:
            head += b'\r\n'
        case Endless.FAILURE:
            head = head.replace(b' 200 ', b' 500 ')
            head += b'content-length: 1000000000000\r\n\r\n'
    yield head
    while True:
        yield block


def encode_chunk(content: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(content), content)


def _drop_field(head: bytes, name: bytes) -> bytes:
    lines = head.split(b'\r\n')
    return b'\r\n'.join(
        line for line in lines if not line.lower().startswith(name)
    )
