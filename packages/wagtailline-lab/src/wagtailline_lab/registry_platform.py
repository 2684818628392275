"""Fake platform that serves the registry of endpoints from memory.

Range reads of its items and watches of one key are served over HTTP. Tests
can make it refuse readers, answer slowly or forget its history.
"""

import asyncio
import base64
import json
import math
from collections.abc import Mapping
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

from wagtailline.ports import Address

PAGE_ITEMS = 500
_UNAVAILABLE = 503
_GONE = 410
_OK = 200
_WATCH_POLL_SECONDS = 0.01
_MILLISECONDS_PER_SECOND = 1000
_THROTTLE_PERIOD_SECONDS = 0.05


class Item(NamedTuple):
    """A value, or None if it was removed, and the revision of its change."""

    content: bytes | None
    revision: int


class _State(NamedTuple):
    items: dict[str, Item]
    revision: int


class RegistryPlatform:
    """HTTP server of items by key, in pages of ``page_items``.

    ``reads`` counts all calls, including refused ones, and ``sent_bytes`` the
    bytes of their answers. Clients whose address is in ``refused_hosts`` get
    503. Each answer is delayed by ``delay_seconds`` and sent at no more than
    ``bytes_per_second``. Watches from before ``oldest_revision`` get 410, and
    those that wait see no change while ``is_mute`` is set.
    """

    def __init__(self) -> None:
        """Set up an empty registry at revision 0."""
        self.revision = 0
        self.reads = 0
        self.refused_hosts: set[str] = set()
        self.sent_bytes = 0
        self.delay_seconds = float(0)
        self.bytes_per_second = math.inf
        self.oldest_revision = 0
        self.is_mute = False
        self.page_items = PAGE_ITEMS
        self._items: dict[str, Item] = {}
        self._stale: _State | None = None
        self._history: list[tuple[str, Item]] = []
        self._server: asyncio.Server | None = None

    async def start(self, host: str = '127.0.0.1') -> Address:
        """Start to serve on a free port and return the address."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        bound = self._server.sockets[0].getsockname()
        return Address(bound[0], bound[1])

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def put(self, key: str, fields: Mapping[str, object]) -> None:
        """Store fields, encoded as JSON, at the next revision."""
        self.put_bytes(key, json.dumps(fields).encode())

    def put_bytes(self, key: str, content: bytes) -> None:
        """Store raw bytes, which may be malformed, at the next revision."""
        self.revision += 1
        item = Item(content, self.revision)
        self._items[key] = item
        self._history.append((key, item))

    def remove(self, key: str) -> None:
        """Delete a key at the next revision; a missing key is ignored."""
        if self._items.pop(key, None) is None:
            return
        self.revision += 1
        self._history.append((key, Item(None, self.revision)))

    def freeze_stale_reads(self) -> None:
        """Let reads that may be stale see the present state from now on."""
        self._stale = _State(dict(self._items), self.revision)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host = writer.get_extra_info('peername')[0]
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                await asyncio.sleep(self.delay_seconds)
                await self._send(writer, await self._answer(head, host))
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    async def _send(self, writer: asyncio.StreamWriter, content: bytes) -> None:
        self.sent_bytes += len(content)
        if math.isinf(self.bytes_per_second):
            return writer.write(content)
        step = int(self.bytes_per_second * _THROTTLE_PERIOD_SECONDS)
        for start in range(0, len(content), step):
            await asyncio.sleep(_THROTTLE_PERIOD_SECONDS)
            writer.write(content[start : start + step])
        return None

    async def _answer(self, head: bytes, host: str) -> bytes:
        self.reads += 1
        if host in self.refused_hosts:
            return _encode_response(_UNAVAILABLE, b'')
        target = head.split(b' ', 2)[1].decode()
        query = parse_qs(urlsplit(target).query, keep_blank_values=True)
        if 'waitMs' in query:
            return await self._answer_watch(query)
        return self._answer_range(query)

    async def _answer_watch(self, query: Mapping[str, list[str]]) -> bytes:
        prefix, after = query['prefix'][0], int(query['after'][0])
        loop = asyncio.get_running_loop()
        wait_seconds = int(query['waitMs'][0]) / _MILLISECONDS_PER_SECOND
        ends_at = loop.time() + wait_seconds
        if after < self.oldest_revision:
            return _encode_response(_GONE, b'')
        while True:
            changes = [
                _encode_item(key, item)
                for key, item in self._history
                if key.startswith(prefix) and item.revision > after
            ]
            is_over = loop.time() + _WATCH_POLL_SECONDS >= ends_at
            if is_over or (changes and not self.is_mute):
                break
            await asyncio.sleep(_WATCH_POLL_SECONDS)
        events = [] if self.is_mute else changes
        page = {'events': events, 'at': self.revision}
        return _encode_response(_OK, json.dumps(page).encode())

    def _answer_range(self, query: Mapping[str, list[str]]) -> bytes:
        after = query.get('after', [''])[0]
        prefix = query.get('prefix', [''])[0]
        state = _State(self._items, self.revision)
        if 'allowStale' in query and self._stale is not None:
            state = self._stale
        keys = [
            key
            for key in sorted(state.items)
            if key.startswith(prefix) and key > after
        ]
        count = self.page_items
        page = {
            'items': [
                _encode_item(key, state.items[key]) for key in keys[:count]
            ],
            'hasMore': len(keys) > count,
            'at': state.revision,
        }
        return _encode_response(_OK, json.dumps(page).encode())


def _encode_item(key: str, item: Item) -> dict[str, object]:
    if item.content is None:
        return {'key': key, 'revision': item.revision, 'tombstone': True}
    return {
        'key': key,
        'value': base64.b64encode(item.content).decode(),
        'revision': item.revision,
        'created': item.revision,
        'lease': 0,
    }


def _encode_response(status: int, body: bytes) -> bytes:
    head = f'HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n'
    return head.encode() + body
