"""Components that coordinate the proxies of a service mesh.

The components can be used without the daemon. They access the clock, random
numbers and the network through the protocols in :mod:`wagtailline.ports`.
"""
