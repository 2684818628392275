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
from wagtailline_daemon.ingress._headers import pass_answer_headers
from wagtailline_daemon.ingress._refusals import problem_body, problem_headers

Message = MutableMapping[str, Any]
Send = Callable[[Message], Awaitable[None]]
_MILLISECONDS = 1000


async def send_refusal(
    send: Send, refusal: Refusal, status: int, random: Random
) -> None:
    """Send a refusal as a problem document."""
    body = problem_body(refusal, status)
    headers = problem_headers(body, status, refusal.retry_after_ms, random)
    await start(send, status, headers)
    await finish(send, body)


async def send_answer(send: Send, answer: Answer, stall_ms: int) -> None:
    """Send an answer; one that was cut is left open.

    uvicorn then closes the connection, so that the caller sees the cut.
    """
    await start(send, answer.status, pass_answer_headers(answer.headers))
    if isinstance(answer.body, WholeBody):
        return await finish(send, answer.body.content)
    try:
        async for content in answer.body:
            with Deadline(stall_ms / _MILLISECONDS):
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
        await _close(answer.body)
    return await finish(send, b'')


async def start(
    send: Send, status: int, headers: 'list[Any] | tuple[Any, ...]'
) -> None:
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': headers,
        }
    )


async def finish(send: Send, content: bytes) -> None:
    await send(
        {
            'type': 'http.response.body',
            'body': content,
            'more_body': False,
        }
    )


async def _close(body: Body) -> None:
    close = getattr(body, 'aclose', None)
    if close is not None:
        await close()
