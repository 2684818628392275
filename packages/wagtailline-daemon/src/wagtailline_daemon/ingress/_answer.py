"""Sends answers and refusals as ASGI messages."""

from collections.abc import Awaitable, Callable, MutableMapping
from random import Random
from typing import Any

from wagtailline.calls import (
    Answer,
    Body,
    BodyTruncated,
    Deadline,
    Refusal,
    WholeBody,
)
from wagtailline_daemon.ingress._headers import filter_answer_headers
from wagtailline_daemon.ingress._refusals import problem_body, problem_headers

Message = MutableMapping[str, Any]
Send = Callable[[Message], Awaitable[None]]
_MILLISECONDS_PER_SECOND = 1000


async def send_refusal(
    send: Send, refusal: Refusal, status: int, random: Random
) -> None:
    """Send a refusal as an ``application/problem+json`` document."""
    body = problem_body(refusal, status)
    headers = problem_headers(body, status, refusal.retry_after_ms, random)
    await _send_start(send, status, headers)
    await _send_end(send, body)


async def send_answer(
    send: Send, answer: Answer, write_timeout_ms: int
) -> None:
    """Send an answer, without a last message if its body is truncated.

    uvicorn then closes the connection, so that the caller can tell that the
    answer is incomplete. A caller that accepts no data for
    ``write_timeout_ms`` also ends the answer.
    """
    await _send_start(
        send, answer.status, filter_answer_headers(answer.headers)
    )
    if isinstance(answer.body, WholeBody):
        return await _send_end(send, answer.body.content)
    try:
        async for content in answer.body:
            with Deadline(write_timeout_ms / _MILLISECONDS_PER_SECOND):
                await send(
                    {
                        'type': 'http.response.body',
                        'body': content,
                        'more_body': True,
                    }
                )
    except (BodyTruncated, TimeoutError):
        return None
    finally:
        await _close_body(answer.body)
    return await _send_end(send, b'')


async def _send_start(
    send: Send, status: int, headers: 'list[Any] | tuple[Any, ...]'
) -> None:
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': headers,
        }
    )


async def _send_end(send: Send, content: bytes) -> None:
    await send(
        {
            'type': 'http.response.body',
            'body': content,
            'more_body': False,
        }
    )


async def _close_body(body: Body) -> None:
    close = getattr(body, 'aclose', None)
    if close is not None:
        await close()
