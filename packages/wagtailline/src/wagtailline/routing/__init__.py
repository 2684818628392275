"""Routing of calls: route match, choice of a gate, retries."""

from wagtailline.routing._matching import RouteIndex

__all__ = ('RouteIndex',)
