"""Fake platform that serves the registry of endpoints from memory.

Range reads of its items and watches of one key are served over HTTP. Tests
can make it refuse readers, answer slowly, forget its history, or go away and
return from an older copy.
"""

import asyncio
import base64
import json
import math
from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

from wagtailline.ports import Address

PAGE_ITEMS = 500
_UNAVAILABLE = 503
_GONE = 410
_ERA_HEADER = 'Store-Era'
_ENDS = ('peername', 'sockname')
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


class _Change(NamedTuple):
    key: str
    item: Item
    at: float


class RegistryPlatform:
    """HTTP server of items by key, in pages of ``page_items``.

    ``reads`` counts all calls, including refused ones, ``reads_by_prefix``
    those that are answered, and ``sent_bytes`` the bytes of all answers.
    Clients whose address, or the one that they call, is in ``refused_hosts``
    get 503. Each answer is delayed by ``delay_seconds``
    and sent at no more than ``bytes_per_second``. Watches from before
    ``oldest_revision`` get 410, and those that wait see no change while
    ``is_mute`` is set. Answers name the ``era``, unless it is None, or the text
    in ``odd_era`` if there is one.
    """

    def __init__(self) -> None:
        """Set up an empty registry at revision 0."""
        self.revision = 0
        self.reads = 0
        self.reads_by_prefix: Counter[str] = Counter()
        self.refused_hosts: set[str] = set()
        self.sent_bytes = 0
        self.delay_seconds = float(0)
        self.bytes_per_second = math.inf
        self.oldest_revision = 0
        self.is_mute = False
        self.page_items = PAGE_ITEMS
        self.era: int | None = 1
        self.odd_era = ''
        self._is_away = False
        self._writers: set[asyncio.StreamWriter] = set()
        self._items: dict[str, Item] = {}
        self._stale: _State | None = None
        self._history: list[_Change] = []
        self._servers: list[asyncio.Server] = []

    async def start(self, host: str = '127.0.0.1') -> Address:
        """Start to serve on a free port and return the address."""
        server = await asyncio.start_server(self._serve, host, 0)
        self._servers.append(server)
        bound = server.sockets[0].getsockname()
        return Address(bound[0], bound[1])

    async def stop(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.close()

    def put(self, key: str, fields: Mapping[str, object]) -> None:
        """Store fields, encoded as JSON, at the next revision."""
        self.put_bytes(key, json.dumps(fields).encode())

    def put_bytes(self, key: str, content: bytes) -> None:
        """Store raw bytes, which may be malformed, at the next revision."""
        self.revision += 1
        item = Item(content, self.revision)
        self._items[key] = item
        self._record(key, item)

    def remove(self, key: str) -> None:
        """Delete a key at the next revision; a missing key is ignored."""
        if self._items.pop(key, None) is None:
            return
        self.revision += 1
        self._record(key, Item(None, self.revision))

    def leave(self) -> None:
        """Go away: connections are reset, and new ones are cut at once."""
        self._is_away = True
        for writer in tuple(self._writers):
            writer.transport.abort()

    def return_from_copy(self, age_seconds: float) -> list[str]:
        """Return as of some time ago, in the next era; return the lost keys.

        Their latest content before is what has to be written again.
        """
        copied_at = asyncio.get_running_loop().time() - age_seconds
        kept = [change for change in self._history if change.at <= copied_at]
        lost = {change.key for change in self._history[len(kept) :]}
        self._history = kept
        self._items = {}
        for change in kept:
            self._items[change.key] = change.item
            if change.item.content is None:
                self._items.pop(change.key)
        self.revision = kept[-1].item.revision if kept else 0
        self.era = (self.era or 0) + 1
        self._is_away = False
        return sorted(lost)

    def _record(self, key: str, item: Item) -> None:
        try:
            now = asyncio.get_running_loop().time()
        except RuntimeError:
            now = float('-inf')
        self._history.append(_Change(key, item, now))

    def freeze_stale_reads(self) -> None:
        """Let reads that may be stale see the present state from now on."""
        self._stale = _State(dict(self._items), self.revision)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        names = [writer.get_extra_info(end) for end in _ENDS]
        hosts = {name[0] for name in names}
        self._writers.add(writer)
        try:
            while not self._is_away:
                head = await reader.readuntil(b'\r\n\r\n')
                await asyncio.sleep(self.delay_seconds)
                await self._send(writer, await self._answer(head, hosts))
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort() if self._is_away else writer.close()

    async def _send(self, writer: asyncio.StreamWriter, content: bytes) -> None:
        self.sent_bytes += len(content)
        if math.isinf(self.bytes_per_second):
            return writer.write(content)
        step = int(self.bytes_per_second * _THROTTLE_PERIOD_SECONDS)
        for start in range(0, len(content), step):
            await asyncio.sleep(_THROTTLE_PERIOD_SECONDS)
            writer.write(content[start : start + step])
        return None

    async def _answer(self, head: bytes, hosts: set[str]) -> bytes:
        self.reads += 1
        if hosts & self.refused_hosts:
            return self._encode_response(_UNAVAILABLE, b'')
        target = head.split(b' ', 2)[1].decode()
        query = parse_qs(urlsplit(target).query, keep_blank_values=True)
        self.reads_by_prefix[query.get('prefix', [''])[0]] += 1
        if 'waitMs' in query:
            return await self._answer_watch(query)
        return self._answer_range(query)

    async def _answer_watch(self, query: Mapping[str, list[str]]) -> bytes:
        prefix, after = query['prefix'][0], int(query['after'][0])
        loop = asyncio.get_running_loop()
        wait_seconds = int(query['waitMs'][0]) / _MILLISECONDS_PER_SECOND
        ends_at = loop.time() + wait_seconds
        era = self.era
        while True:
            is_known = self.oldest_revision <= after <= self.revision
            if era != self.era or not is_known:
                return self._encode_response(_GONE, b'')
            changes = [
                _encode_item(change.key, change.item)
                for change in self._history
                if change.key.startswith(prefix)
                and change.item.revision > after
            ]
            is_over = loop.time() + _WATCH_POLL_SECONDS >= ends_at
            if is_over or (changes and not self.is_mute):
                break
            await asyncio.sleep(_WATCH_POLL_SECONDS)
        events = [] if self.is_mute else changes
        page = {'events': events, 'at': self.revision}
        return self._encode_response(_OK, json.dumps(page).encode())

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
        return self._encode_response(_OK, json.dumps(page).encode())

    def _encode_response(self, status: int, body: bytes) -> bytes:
        lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
        if self.odd_era:
            lines.append(f'{_ERA_HEADER}: {self.odd_era}')
        elif self.era is not None:
            lines.append(f'{_ERA_HEADER}: {self.era}')
        head = '\r\n'.join(lines)
        return f'{head}\r\n\r\n'.encode() + body


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
