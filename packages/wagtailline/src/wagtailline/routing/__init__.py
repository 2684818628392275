"""Request routing: route matching, load balancing of gates and retries."""

from wagtailline.routing._budget import RetryBudget
from wagtailline.routing._candidates import LocalEndpoint, find_key_owner
from wagtailline.routing._matching import RouteIndex
from wagtailline.routing._router import IDEMPOTENT_METHODS, Handlers, Router

__all__ = (
    'IDEMPOTENT_METHODS',
    'Handlers',
    'LocalEndpoint',
    'RetryBudget',
    'RouteIndex',
    'Router',
    'find_key_owner',
)
