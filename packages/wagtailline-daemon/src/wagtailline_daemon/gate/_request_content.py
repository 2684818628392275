"""Identification of requests by the start of their bodies."""

from hashlib import blake2b
from typing import NamedTuple

from wagtailline.calls import Body, CallRequest, WholeBody

# Longer bodies are identified by their first bytes up to this number, so that
# large uploads are not held in memory.
MAX_DIGESTED_BYTES = 64 * 1024
_DIGEST_BYTES = 16


class RequestContent(NamedTuple):
    """A body that can still be read completely, and the digest of its start."""

    body: Body
    digest: bytes


async def identify_content(body: Body) -> RequestContent:
    """Digest the start of a body; may raise BodyTruncated."""
    if isinstance(body, WholeBody):
        return RequestContent(body, _digest(body.content))
    parts: list[bytes] = []
    length = 0
    async for part in body:
        parts.append(part)
        length += len(part)
        if length >= MAX_DIGESTED_BYTES:
            break
    else:
        content = b''.join(parts)
        return RequestContent(WholeBody(content), _digest(content))
    prefix = b''.join(parts)
    digest = _digest(prefix[:MAX_DIGESTED_BYTES])
    return RequestContent(_prepend(prefix, body), digest)


def make_fingerprint(request: CallRequest, content_digest: bytes) -> bytes:
    """Return the digest by which a request that crashes upstreams is known."""
    digest = blake2b(digest_size=_DIGEST_BYTES)
    for field in (request.client_account, request.method, request.target):
        digest.update(len(field).to_bytes(4, 'big'))
        digest.update(field.encode())
    digest.update(content_digest)
    return digest.digest()


def _digest(content: bytes) -> bytes:
    return blake2b(content, digest_size=_DIGEST_BYTES).digest()


async def _prepend(prefix: bytes, rest: Body) -> Body:
    yield prefix
    async for part in rest:
        yield part
