"""Reservation of TCP port blocks, so that meshes on one machine don't overlap.

An ephemeral port may be taken by an outgoing connection before a daemon that
starts a second later listens on it, so the blocks lie below the ephemeral
range. A socket bound to the first port of a block reserves the others.
"""

import socket
from typing import NamedTuple

HOST = '127.0.0.1'
FIRST_PORT = 10_000
BLOCK_SIZE = 128
BLOCK_COUNT = 80


class NoFreeBlockError(Exception):
    """Every block is reserved, or more ports are requested than a block has."""


class PortBlock(NamedTuple):
    """Ports that are reserved until they are released."""

    reservation: socket.socket
    ports: tuple[int, ...]

    def release(self) -> None:
        """Make the block available to other processes."""
        self.reservation.close()


def reserve_ports(count: int) -> PortBlock:
    """Reserve ports in a free block; raise NoFreeBlockError if none is free."""
    if count < BLOCK_SIZE:
        for block in range(BLOCK_COUNT):
            first_port = FIRST_PORT + block * BLOCK_SIZE
            reservation = _try_bind(first_port)
            if reservation is not None:
                ports = tuple(range(first_port + 1, first_port + 1 + count))
                return PortBlock(reservation, ports)
    raise NoFreeBlockError(count)


def _try_bind(port: int) -> socket.socket | None:
    reservation = socket.socket()
    try:
        reservation.bind((HOST, port))
    except OSError:
        reservation.close()
        return None
    return reservation
