"""Stand-in of the platform's store, as PROTOCOL.md and the news describe it.

It serves kv-range, kv-watch and kv-key over HTTP/1.1. ``drill`` brings it
back from a copy that is some seconds old.
"""

import asyncio
import base64
import json
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

PAGE_ITEMS = 500


class Written(NamedTuple):
    """One write: a value, or None for a removal."""

    key: str
    value: bytes | None
    revision: int
    at: float


class Store:
    """Store with one revision counter and a history of its writes."""

    def __init__(self, host: str = '127.0.0.1') -> None:
        self.host = host
        self.port = 0
        self.era = 1
        self.is_away = False
        self.slow_s = 0.0
        self.refused_hosts: set[str] = set()
        self._first_revision = 100
        self._writes: list[Written] = []
        self._gone_before = self._first_revision
        self._connections: set[asyncio.StreamWriter] = set()
        self._changed = asyncio.Event()

    @property
    def revision(self) -> int:
        """The revision of the last write."""
        return self._writes[-1].revision if self._writes else 100

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = server.sockets[0].getsockname()[1]

    def put(self, key: str, fields: object) -> int:
        """Write a value as JSON; return its revision."""
        return self._write(key, json.dumps(fields).encode())

    def remove(self, key: str) -> int:
        """Remove a key; return the revision of the removal."""
        return self._write(key, None)

    def leave(self) -> None:
        """Go away: connections are reset and new ones are cut at once."""
        self.is_away = True
        for writer in tuple(self._connections):
            writer.transport.abort()

    def come_back(self) -> None:
        """Come back as it was."""
        self.is_away = False

    def come_back_from_copy(self, age_s: float) -> list[Written]:
        """Come back from a copy of that age; return the lost writes."""
        copied_at = asyncio.get_running_loop().time() - age_s
        lost = [write for write in self._writes if write.at > copied_at]
        self._writes = [write for write in self._writes if write not in lost]
        self.era += 1
        self.is_away = False
        return lost

    def items(self) -> dict[str, Written]:
        """The keys that are there, with their last writes."""
        latest = {write.key: write for write in self._writes}
        return {k: v for k, v in latest.items() if v.value is not None}

    def _write(self, key: str, value: bytes | None) -> int:
        now = asyncio.get_running_loop().time()
        self._writes.append(Written(key, value, self.revision + 1, now))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return self.revision

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host = writer.get_extra_info('peername')[0]
        self._connections.add(writer)
        try:
            while not self.is_away:
                head = await reader.readuntil(b'\r\n\r\n')
                if host in self.refused_hosts:
                    status, content = 503, {}
                else:
                    await asyncio.sleep(self.slow_s)
                    status, content = await self._answer(head)
                if not self.is_away:
                    writer.write(self._encode(status, content))
        except (OSError, EOFError, asyncio.CancelledError):
            return
        finally:
            self._connections.discard(writer)
            writer.transport.abort()

    async def _answer(self, head: bytes) -> tuple[int, object]:
        target = urlsplit(head.split(b' ', 2)[1].decode())
        query = {
            name: fields[0]
            for name, fields in parse_qs(
                target.query, keep_blank_values=True
            ).items()
        }
        if target.path.endswith('/kv-watch'):
            return await self._watch(query)
        if target.path.endswith('/kv-range'):
            return self._range(query)
        item = self.items().get(query.get('key', ''))
        return (200, _encode_item(item)) if item else (404, {})

    async def _watch(self, query: dict[str, str]) -> tuple[int, object]:
        after, prefix = int(query['after']), query.get('prefix', '')
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + min(int(query['waitMs']), 30_000) / 1000
        era = self.era
        while True:
            if era != self.era or not self._has_revision(after):
                return 410, {}
            events = [
                _encode_item(write)
                for write in self._writes
                if write.revision > after and write.key.startswith(prefix)
            ]
            left_s = ends_at - loop.time()
            if events or left_s <= 0:
                return 200, {'events': events, 'at': self.revision}
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _has_revision(self, revision: int) -> bool:
        return self._gone_before <= revision <= self.revision

    def _range(self, query: dict[str, str]) -> tuple[int, object]:
        prefix, after = query.get('prefix', ''), query.get('after', '')
        keys = sorted(
            key
            for key in self.items()
            if key.startswith(prefix) and key > after
        )
        page = [_encode_item(self.items()[key]) for key in keys[:PAGE_ITEMS]]
        has_more = len(keys) > PAGE_ITEMS
        return 200, {'items': page, 'hasMore': has_more, 'at': self.revision}

    def _encode(self, status: int, content: object) -> bytes:
        body = json.dumps(content).encode()
        head = (
            f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
            f'Store-Era: {self.era}\r\nContent-Length: {len(body)}\r\n\r\n'
        )
        return head.encode() + body


def _encode_item(write: Written) -> dict[str, object]:
    if write.value is None:
        return {
            'key': write.key,
            'revision': write.revision,
            'tombstone': True,
        }
    return {
        'key': write.key,
        'value': base64.b64encode(write.value).decode(),
        'revision': write.revision,
        'created': write.revision,
        'lease': 0,
    }
