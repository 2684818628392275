"""Coordination parts for a service mesh.

The modules of this package run without the daemon. Time, randomness and the
network come in through the protocols in :mod:`wagtailline.ports`.
"""
