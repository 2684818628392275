"""Composition root: makes every service of the daemon and wires them."""

from wagtailline_daemon.composition._daemon import build_daemon

__all__ = ('build_daemon',)
