"""Composition root: builds and wires all services of the daemon."""

from wagtailline_daemon.composition._daemon import build_daemon

__all__ = ('build_daemon',)
