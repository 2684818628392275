"""An upstream that sends bytes without end, and clients that read slowly."""

import asyncio
import contextlib
from pathlib import Path
from typing import NamedTuple

from _daemons import HEADERS, HOST, Fleet, make_configuration, send_request

from wagtailline.ports import Address
from wagtailline_lab.sealed_upstream import SealedUpstream, UpstreamHeaders

ENDLESS = '/archive/1'
OTHER = '/status/1'
SLOW_READERS = 15
# Each slow client reads so many bytes in each pause.
READ_BYTES = 16 * 1024
PAUSE_SECONDS = 0.1
OTHER_CALLERS = 5
WATCH_SECONDS = 5.0
_ROUTE_TIMEOUT_MS = 10_000
# Long enough for a busy machine, shorter than the time of ``send_request``.
_OTHER_TIMEOUT_MS = 4_000
_KIBIBYTE = 1024


class Bytes(NamedTuple):
    """What the upstream sends: ``head``, then ``part`` again and again."""

    head: bytes
    part: bytes
    status: int = 200

    def start(self, attempt: str) -> bytes:
        return (
            f'HTTP/1.1 {self.status} X\r\n'
            f'{HEADERS.request_id}: {attempt}\r\n'
            f'{HEADERS.seal}: seal\r\n'
        ).encode() + self.head


CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
LONG = b'Content-Length: 1000000000\r\n\r\n'
KINDS = {
    'length': Bytes(LONG, b'x' * 65_536),
    'no length': Bytes(b'\r\n', b'x' * 65_536),
    'chunks': Bytes(CHUNKED, b'10000\r\n' + b'x' * 65_536 + b'\r\n'),
    'one-byte chunks': Bytes(CHUNKED, b'1\r\nx\r\n' * 10_000),
    'headers': Bytes(b'', b'X-A: b\r\n' * 8_000),
    'failure': Bytes(LONG, b'x' * 65_536, 500),
    'extension': Bytes(CHUNKED + b'5', b';x' * 30_000),
    'trailers': Bytes(
        CHUNKED + b'5\r\nhello\r\n0\r\n', b'X-More: more\r\n' * 5_000
    ),
    'informational': Bytes(
        b'Content-Length: 0\r\n\r\n', b'HTTP/1.1 100 Continue\r\n\r\n' * 2_000
    ),
}


class EndlessUpstream(SealedUpstream):
    """Upstream that sends ``content`` until the connection is closed."""

    def __init__(
        self, instance: str, content: Bytes, names: UpstreamHeaders = HEADERS
    ) -> None:
        super().__init__(instance, names)
        self.content = content
        self.writers: set[asyncio.StreamWriter] = set()

    async def _serve(self, reader, writer) -> None:
        self.writers.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _respond(self, received, reader) -> bytes:
        if received.target != ENDLESS:
            return await super()._respond(received, reader)
        writer = next(
            writer
            for writer in self.writers
            if writer.transport is reader._transport
        )
        writer.write(self.content.start(received.headers['x-attempt-id']))
        while True:
            writer.write(self.content.part)
            await writer.drain()


async def start_endless(
    fleet: Fleet, size: int, content: Bytes, slots: int = 20
) -> None:
    """Start a fleet whose first upstream sends bytes without end."""
    await fleet.start(size)
    vm = fleet.vms[0]
    await vm.upstream.stop()
    vm.upstream = EndlessUpstream(vm.upstream.instance, content)
    await vm.upstream.start(Address(vm.host, vm.ports['upstream']))
    entry = {**vm.make_entry(), 'service': 'archive', 'maxConcurrency': slots}
    fleet.platform.put(f'servers/{vm.upstream.instance}', entry)
    configuration = make_configuration(2)
    route = configuration['routes']['status']
    route |= {'timeoutMs': _OTHER_TIMEOUT_MS, 'sloMs': _OTHER_TIMEOUT_MS}
    configuration['routes']['archive'] = {
        **route,
        'prefix': '/archive/',
        'service': 'archive',
        'timeoutMs': _ROUTE_TIMEOUT_MS,
        'sloMs': _ROUTE_TIMEOUT_MS,
    }
    configuration['services']['archive'] = configuration['services']['desk']
    fleet.platform.put('op/config', configuration)
    await asyncio.sleep(2.5)


def resident_bytes(process_id: int) -> int:
    for line in Path(f'/proc/{process_id}/status').read_text().splitlines():
        if line.startswith('VmRSS'):
            return int(line.split()[1]) * _KIBIBYTE
    return 0


async def read_slowly(vm, number: int) -> int:
    """Read an answer until it ends, slowly; return its size in bytes."""
    reader, writer = await asyncio.open_connection(
        vm.host, vm.ports['ingress'], limit=READ_BYTES
    )
    writer.write(
        f'GET {ENDLESS} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: slow-'
        f'{number}\r\nAuthorization: Bearer studio-key\r\n\r\n'.encode()
    )
    size_bytes = 0
    try:
        with contextlib.suppress(ConnectionError):
            while content := await reader.read(READ_BYTES):
                size_bytes += len(content)
                await asyncio.sleep(PAUSE_SECONDS)
    finally:
        writer.close()
    return size_bytes


class Outcome(NamedTuple):
    """Largest growth of a daemon in bytes, and requests of other callers."""

    growth_bytes: int
    served: int
    not_served: int


async def watch(fleet: Fleet, caller: int) -> Outcome:
    """Let clients of one daemon call the upstream; watch all daemons."""
    vm = fleet.vms[caller]
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + WATCH_SECONDS
    before = [resident_bytes(vm.process.pid) for vm in fleet.vms]
    slow = [
        asyncio.ensure_future(read_slowly(vm, number))
        for number in range(SLOW_READERS)
    ]
    served: list[bool] = []

    async def call_others(number: int) -> None:
        while loop.time() < ends_at:
            try:
                status, _, _ = await send_request(
                    fleet.vms[number % len(fleet.vms)], OTHER, request_id='o'
                )
            except (OSError, TimeoutError):
                status = 0
            served.append(status == 200)
            await asyncio.sleep(0.02)

    others = [
        asyncio.ensure_future(call_others(number))
        for number in range(OTHER_CALLERS)
    ]
    growth = 0
    while loop.time() < ends_at:
        for process, at_start in zip(fleet.vms, before, strict=True):
            now = resident_bytes(process.process.pid)
            growth = max(growth, now - at_start)
        await asyncio.sleep(0.05)
    await asyncio.gather(*others)
    for task in slow:
        task.cancel()
    await asyncio.gather(*slow, return_exceptions=True)
    return Outcome(growth, sum(served), len(served) - sum(served))
