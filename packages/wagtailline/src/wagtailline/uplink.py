"""Scheduling of message bodies on the outgoing network link of a VM."""

from wagtailline._uplink import Transfer, Uplink

__all__ = ('Transfer', 'Uplink')
