"""Ports that are free on every address of this machine."""

import socket
from contextlib import ExitStack


def find_free_ports(
    count: int, kind: socket.SocketKind = socket.SOCK_STREAM
) -> list[int]:
    """Return different ports that the kernel has just found free.

    They are bound together on all addresses, so they are free on each loopback
    address. Nothing reserves them afterwards: use them at once.
    """
    with ExitStack() as stack:
        bound = [
            stack.enter_context(socket.socket(socket.AF_INET, kind))
            for _ in range(count)
        ]
        for unbound in bound:
            unbound.bind(('', 0))
        return [free_socket.getsockname()[1] for free_socket in bound]
