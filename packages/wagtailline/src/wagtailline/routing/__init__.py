"""Routing of calls: route match, choice of a gate, retries."""

from wagtailline.routing._budget import RetryBudget
from wagtailline.routing._candidates import Position, key_position
from wagtailline.routing._matching import RouteIndex
from wagtailline.routing._router import IDEMPOTENT_METHODS, Handlers, Router

__all__ = (
    'IDEMPOTENT_METHODS',
    'Handlers',
    'Position',
    'RetryBudget',
    'RouteIndex',
    'Router',
    'key_position',
)
