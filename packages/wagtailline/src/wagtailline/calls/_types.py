"""Types of the calls that an ingress routes to a gate."""

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Annotated, Literal, NamedTuple

from msgspec import Meta
from result import Result

Headers = tuple[tuple[bytes, bytes], ...]
Body = AsyncIterator[bytes]
Executed = Literal['no', 'unknown']
Milliseconds = Annotated[int, Meta(ge=0, le=2**53)]
Load = Annotated[float, Meta(ge=0, le=86_400)]
Status = Annotated[int, Meta(ge=200, le=599)]
Depth = Annotated[int, Meta(ge=0, le=1000)]


class CallRequest(NamedTuple):
    """Head of a request, with the routing decision of its sender.

    ``sender`` is the sender's endpoint and ``version`` the snapshot version
    that it routed by. ``timeout_ms`` is the remaining time, and ``depth`` the
    number of calls that this one is nested in. ``instance`` names the
    incarnation of the upstream that has to run the request. A lower
    ``priority`` is more urgent. ``request_id`` identifies the request in logs.
    ``is_repeatable`` permits running it more than once. ``target_ms`` is the
    latency objective of the answer; at 0 only ``timeout_ms`` applies.
    """

    version: int
    endpoint: str
    route: str
    client_account: str
    key_digest: str
    method: str
    target: str
    headers: Headers
    timeout_ms: Milliseconds
    depth: Depth = 0
    trace: str = ''
    idempotency_key: str = ''
    sender: str = ''
    instance: str = ''
    priority: int = 0
    request_id: str = ''
    is_repeatable: bool = False
    target_ms: Milliseconds = 0


class Refusal(NamedTuple):
    """Result of a call that got no answer from an upstream.

    ``executed`` is ``no`` only when no upstream has begun the request.
    ``limit`` names the rate limit that was exhausted, if that is the reason.
    """

    reason: str
    executed: Executed
    retry_after_ms: Milliseconds = 0
    limit: str = ''


class Answer(NamedTuple):
    """Head and body of an answer, and the load of the gate from 0 to 1."""

    status: int
    headers: Headers
    body: Body
    load: float = 0


CallHandler = Callable[[CallRequest, Body], Awaitable[Result[Answer, Refusal]]]
"""Runs a call. The answer's body raises BodyTruncated if it is truncated."""


class BodyTruncated(Exception):
    """The rest of a body will not arrive."""
