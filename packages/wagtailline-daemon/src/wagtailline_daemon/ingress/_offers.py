"""Request heads that offer to change the protocol, which is never used."""

from collections.abc import Iterable
from typing import Any

import httptools

_UPGRADE = b'upgrade'


def encode_without_offer(
    method: bytes,
    target: bytes,
    version: str,
    headers: Iterable[tuple[bytes, bytes]],
) -> bytes:
    """Return a request head without the offer to change the protocol."""
    lines = [b'%b %b HTTP/%b' % (method, target, version.encode())]
    lines.extend(
        b'%b: %b' % header for header in headers if header[0] != _UPGRADE
    )
    return b'\r\n'.join((*lines, b'', b''))


def make_parser(protocol: Any) -> httptools.HttpRequestParser:
    """Return a parser with the settings of uvicorn's own one."""
    parser = httptools.HttpRequestParser(protocol)
    # Keeps what follows a request that asks to close the connection.
    parser.set_dangerous_leniencies(lenient_data_after_close=True)
    return parser
