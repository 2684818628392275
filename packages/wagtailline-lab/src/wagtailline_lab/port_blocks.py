"""Blocks of TCP ports that no two meshes on this machine share.

Ports that the kernel hands out may be taken by an outgoing connection before
a daemon that starts a second later listens on them, so blocks lie below that
range, and a socket on the first port reserves the rest.
"""

import socket
from typing import NamedTuple

HOST = '127.0.0.1'
FIRST_PORT = 10_000
BLOCK_SIZE = 128
BLOCKS = 80


class NoFreeBlockError(Exception):
    """Every block is reserved, or the ports asked for exceed a block."""


class PortBlock(NamedTuple):
    """Reserved ports; they are free again after the release."""

    reservation: socket.socket
    ports: tuple[int, ...]

    def release(self) -> None:
        """Let others reserve the block."""
        self.reservation.close()


def reserve_ports(count: int) -> PortBlock:
    """Reserve a block; raise NoFreeBlockError when there is none."""
    if count < BLOCK_SIZE:
        for number in range(BLOCKS):
            first = FIRST_PORT + number * BLOCK_SIZE
            reservation = _reserve(first)
            if reservation is not None:
                ports = tuple(range(first + 1, first + 1 + count))
                return PortBlock(reservation, ports)
    raise NoFreeBlockError(count)


def _reserve(port: int) -> socket.socket | None:
    reservation = socket.socket()
    try:
        reservation.bind((HOST, port))
    except OSError:
        reservation.close()
        return None
    return reservation
