"""Calls between daemons: their types, a client and a server."""

from wagtailline.calls._bodies import WholeBody, close_body
from wagtailline.calls._client import CallClient, FindAddress
from wagtailline.calls._deadline import Deadline
from wagtailline.calls._server import CallServer
from wagtailline.calls._types import (
    Answer,
    Body,
    BodyTruncated,
    CallHandler,
    CallRequest,
    Executed,
    Headers,
    Refusal,
)
from wagtailline.calls.messages import CALL_KINDS

__all__ = (
    'CALL_KINDS',
    'Answer',
    'Body',
    'BodyTruncated',
    'CallClient',
    'CallHandler',
    'CallRequest',
    'CallServer',
    'Deadline',
    'Executed',
    'FindAddress',
    'Headers',
    'Refusal',
    'WholeBody',
    'close_body',
)
