"""Reads the start of a request's body to identify the request."""

from hashlib import blake2b
from typing import NamedTuple

from wagtailline.calls import Body, CallRequest, WholeBody

# Longer bodies are identified by this much of them and by their headers'
# length, so that large uploads are not held in memory.
MAX_IDENTIFYING_BYTES = 64 * 1024
_DIGEST_BYTES = 16


class RequestContent(NamedTuple):
    """A body that can still be read whole, and the digest of its start."""

    body: Body
    digest: bytes


async def identify_content(body: Body) -> RequestContent:
    """Digest the start of a body; it may raise BodyTruncated."""
    if isinstance(body, WholeBody):
        return RequestContent(body, _digest(body.content))
    pieces: list[bytes] = []
    length = 0
    async for piece in body:
        pieces.append(piece)
        length += len(piece)
        if length >= MAX_IDENTIFYING_BYTES:
            break
    else:
        content = b''.join(pieces)
        return RequestContent(WholeBody(content), _digest(content))
    start = b''.join(pieces)
    digest = _digest(start[:MAX_IDENTIFYING_BYTES])
    return RequestContent(_join(start, body), digest)


def make_fingerprint(request: CallRequest, content_digest: bytes) -> bytes:
    """Return the digest by which requests that crash upstreams are known."""
    digest = blake2b(digest_size=_DIGEST_BYTES)
    for part in (request.client_account, request.method, request.target):
        digest.update(len(part).to_bytes(4, 'big'))
        digest.update(part.encode())
    digest.update(content_digest)
    return digest.digest()


def _digest(content: bytes) -> bytes:
    return blake2b(content, digest_size=_DIGEST_BYTES).digest()


async def _join(start: bytes, rest: Body) -> Body:
    yield start
    async for piece in rest:
        yield piece
