"""Types of a call between the ingress, the routing and a gate."""

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Literal, NamedTuple

from result import Result

Headers = tuple[tuple[bytes, bytes], ...]
Body = AsyncIterator[bytes]
Executed = Literal['no', 'unknown']


class CallRequest(NamedTuple):
    """The head of a request as its sender decided on it.

    ``sender`` is its endpoint, ``version`` the version that it decided on,
    ``timeout_ms`` the time left, ``depth`` the number of calls above it.
    ``instance`` names the incarnation of the upstream that has to run it, a
    lower ``priority`` is more urgent, ``identity`` tells requests apart in
    logs, ``is_repeatable`` tells whether it may run again. An answer within
    ``target_ms`` is wanted; 0 means that only the time left counts.
    """

    version: int
    endpoint: str
    route: str
    client_account: str
    key_digest: str
    method: str
    target: str
    headers: Headers
    timeout_ms: int
    depth: int = 0
    trace: str = ''
    idempotency_key: str = ''
    sender: str = ''
    instance: str = ''
    priority: int = 0
    identity: str = ''
    is_repeatable: bool = False
    target_ms: int = 0


class Refusal(NamedTuple):
    """A call that got no answer of an upstream.

    ``executed`` is ``no`` only when no upstream has begun the request.
    ``limit`` names the limit that had nothing left, if that is the reason.
    """

    reason: str
    executed: Executed
    retry_after_ms: int = 0
    limit: str = ''


class Answer(NamedTuple):
    """Head of an answer, its body, and the load of the gate from 0 to 1."""

    status: int
    headers: Headers
    body: Body
    load: float = 0


CallHandler = Callable[[CallRequest, Body], Awaitable[Result[Answer, Refusal]]]
"""Runs a call. The answer's body raises BodyTruncated when it is cut."""


class BodyTruncated(Exception):
    """The rest of a body will not come."""
