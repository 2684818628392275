"""Descriptors of a process that connections of clients may take."""

import resource

# Descriptors for files, which the users reserve.
_FILE_DESCRIPTORS = 200
# Fraction of the others for clients; the rest is for upstreams and peers.
_CLIENT_SHARE = 0.5
# Connections that are open however few descriptors there are.
_MIN_CONNECTIONS = 16


def find_max_connections(max_connections: int) -> int:
    """Return how many connections of clients the process may have open.

    That is the given number, unless the limit of the process is too low.
    """
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return max_connections
    share = int((descriptors - _FILE_DESCRIPTORS) * _CLIENT_SHARE)
    return max(min(max_connections, share), _MIN_CONNECTIONS)
