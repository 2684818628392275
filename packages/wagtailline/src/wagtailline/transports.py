"""Bytes of a transport that its peer has not acknowledged."""

import asyncio
import fcntl
import socket
import termios

_INTEGER_BYTES = 4


def count_unsent_bytes(transport: asyncio.WriteTransport) -> int:
    """Return the bytes that are on their way to the peer.

    They are in the buffer of the transport, or in that of the system and not
    acknowledged. Those of the system count as none where it doesn't tell.
    """
    buffered_bytes = transport.get_write_buffer_size()
    connection = transport.get_extra_info('socket')
    if connection is None:
        return buffered_bytes
    return buffered_bytes + _count_unacknowledged_bytes(connection)


def _count_unacknowledged_bytes(connection: socket.socket) -> int:
    try:
        answer = fcntl.ioctl(
            connection.fileno(), termios.TIOCOUTQ, bytes(_INTEGER_BYTES)
        )
    except (OSError, ValueError):
        return 0
    return int.from_bytes(answer, 'little')
