"""Upstreams that send responses twice, and clients that check theirs."""

import asyncio
from collections import Counter
from random import Random

from _daemons import HEADERS, HOST, Fleet, Vm

from wagtailline.ports import Address
from wagtailline_lab.sealed_upstream import SealedUpstream

DELAYS_SECONDS = (0.002, 0.02, 0.2)
STUTTER_SHARE = 0.5
SERVICE_SECONDS = 0.02
CLIENTS = 24
# Beyond the timeout of the route, 1 s.
READ_TIMEOUT_SECONDS = 3.0
KINDS = (
    'same',
    'chunked',
    'status',
    'unnamed',
    'half',
    'lengthless',
    'torn-head',
    'torn-chunks',
)


def make_body(request_id: str) -> bytes:
    """Return a body that is as long as no other, and names its request."""
    size = Random(request_id).randint(1, 40)
    return f'<{request_id}>'.encode() * size


def make_copy(response: bytes, kind: str) -> bytes:
    """Return the second response of a kind to the request of the first."""
    head, _, body = response.partition(b'\r\n\r\n')
    lines = head.split(b'\r\n')
    framed = [line for line in lines if not line.startswith(b'Content-Length')]
    match kind:
        case 'chunked' | 'torn-chunks':
            chunked = [*framed, b'Transfer-Encoding: chunked', b'']
            content = b'%x\r\n%b\r\n0\r\n\r\n' % (len(body), body)
            copy = b'\r\n'.join(chunked) + b'\r\n' + content
            return copy if kind == 'chunked' else copy[: -len(content) // 2]
        case 'status':
            return response.replace(b' 200 ', b' 500 ', 1)
        case 'unnamed':
            lines = [line for line in lines if b'attempt-id' not in line]
            return b'\r\n'.join(lines) + b'\r\n\r\n' + body
        case 'half':
            return response[: len(response) // 2]
        case 'lengthless':
            return b'\r\n'.join(framed) + b'\r\n\r\n' + body
        case 'torn-head':
            return head[: len(head) * 2 // 3]
    return response


class StutteringUpstream(SealedUpstream):
    """Upstream that sends half of its responses once more, and late."""

    def __init__(self, instance: str, kind: str, random: Random) -> None:
        super().__init__(instance, HEADERS)
        self.kind = kind
        self.random = random
        self.copies: set[asyncio.Task] = set()
        self.connections = 0

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        send = writer.write

        def write(content: bytes) -> None:
            send(content)
            is_repeated = self.random.random() < STUTTER_SHARE
            if self.kind and HEADERS.seal.encode() in content and is_repeated:
                copy = make_copy(content, self.kind)
                self._send_later(writer, lambda: send(copy))

        writer.write = write
        await super()._serve(reader, writer)

    def _send_later(self, writer, send) -> None:
        async def repeat() -> None:
            await asyncio.sleep(self.random.choice(DELAYS_SECONDS))
            if not writer.is_closing():
                send()

        task = asyncio.ensure_future(repeat())
        self.copies.add(task)
        task.add_done_callback(self.copies.discard)

    async def _execute(self, reader) -> None:
        await asyncio.sleep(self.random.uniform(0, SERVICE_SECONDS))

    async def _respond(self, received, reader) -> bytes:
        response = await super()._respond(received, reader)
        body = make_body(received.headers.get(HEADERS.request_id, ''))
        return response.replace(
            b'Content-Length: 6\r\n\r\nsealed',
            b'Content-Length: %d\r\n\r\n%b' % (len(body), body),
        ).replace(
            b'x-server-seal: seal',
            b'x-server-seal: seal.%b' % body[:30].split(b'>')[0][1:],
        )


class Trial:
    """Clients with kept connections beside upstreams of one kind."""

    def __init__(self, directory, kind: str, seed: int) -> None:
        self.kind, self.seed = kind, seed
        self.fleet = Fleet(directory)
        self.counts: Counter = Counter()
        self.waits: list[float] = []
        self.wrong: list[bytes] = []
        self.is_over = False

    async def run(self, vms: int, seconds: float) -> None:
        """Play the trial; the counts are by status, or ``wrong``."""
        await self.fleet.start(vms)
        for vm in self.fleet.vms:
            await vm.upstream.stop()
            vm.upstream = StutteringUpstream(
                vm.upstream.instance,
                self.kind,
                Random(f'{self.seed}/{vm.name}'),
            )
            address = Address(vm.host, vm.ports['upstream'])
            await vm.upstream.start(address)
        clients = [
            asyncio.ensure_future(
                self._use(self.fleet.vms[number % vms], number)
            )
            for number in range(CLIENTS)
        ]
        await asyncio.sleep(seconds)
        self.is_over = True
        await asyncio.gather(*clients)
        await self.fleet.stop()

    async def _use(self, vm: Vm, number: int) -> None:
        sent = 0
        while not self.is_over:
            reader, writer = await asyncio.open_connection(
                vm.host, vm.ports['ingress']
            )
            try:
                while not self.is_over:
                    sent += 1
                    await self._ask(
                        reader, writer, f'{self.seed}-{number}-{sent}'
                    )
            except (OSError, asyncio.IncompleteReadError):
                self.counts['closed'] += 1
            finally:
                writer.close()

    async def _ask(self, reader, writer, request_id: str) -> None:
        began = asyncio.get_running_loop().time()
        writer.write(
            f'GET /status/ HTTP/1.1\r\nHost: {HOST}\r\n'
            f'X-Attempt-Id: {request_id}\r\n'
            'Authorization: Bearer studio-key\r\n\r\n'.encode()
        )
        async with asyncio.timeout(READ_TIMEOUT_SECONDS):
            head = await reader.readuntil(b'\r\n\r\n')
            length = head.lower().partition(b'content-length: ')[2]
            body = await reader.readexactly(int(length.partition(b'\r')[0]))
        status = int(head.split()[1])
        self.counts[status] += 1
        self.waits.append(asyncio.get_running_loop().time() - began)
        seal = f'x-server-seal: seal.{request_id}\r\n'.encode()
        is_own = body == make_body(request_id) and seal in head.lower()
        if (status == 200 and not is_own) or status == 500:
            self.counts['wrong'] += 1
            self.wrong.append(head + body)
