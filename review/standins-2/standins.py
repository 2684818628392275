"""Stand-ins of the platform for the review's scripts.

The store, the endpoints and the clients run in the process of a script, the
project's own program runs in one process for each machine. Machine number N
has the address 127.0.0.N, and all machines use the same ports.
"""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

REPOSITORY = Path(__file__).resolve().parents[2]
_TASKS = set()
PORT_NAMES = ('outbound', 'inbound', 'ready', 'app', 'metrics')
BOUNDS = {
    'drainMs': 2000,
    'graceS': 6,
    'configApplyMs': 2000,
    'revokeMs': 5000,
    'retryBudgetRatio': 0.2,
    'budgetWindowS': 10,
    'retrySlack': 60,
    'quotaWindowS': 5,
    'quotaOverage': 0.25,
    'quotaSlack': 20,
    'warmupOverage': 1.5,
    'warmupSlack': 5,
}


class Record:
    """Lines about what was sent, answered and run, with seconds."""

    def __init__(self, folder):
        """Begin an empty record in a folder."""
        self._began_at = time.monotonic()
        self._file = (Path(folder) / 'record.txt').open('w')

    def now(self):
        """Return the seconds since the record began."""
        return time.monotonic() - self._began_at

    def write(self, text):
        """Write one line with its time."""
        self._file.write(f'{self.now():9.3f} {text}\n')
        self._file.flush()


async def read_message(reader):
    """Return the first line, headers and body of a message, or None."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode('latin-1').split('\r\n')[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    try:
        if headers.get('transfer-encoding') == 'chunked':
            body = b''
            while True:
                size = int((await reader.readuntil(b'\r\n')).strip(), 16)
                part = await reader.readexactly(size + 2)
                if not size:
                    break
                body += part[:-2]
        else:
            size = int(headers.get('content-length', '0'))
            body = await reader.readexactly(size)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return first, headers, body


def make_answer(status, headers, body):
    """Return the bytes of an answer with a length."""
    lines = [f'HTTP/1.1 {status} -', f'Content-Length: {len(body)}']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    return '\r\n'.join((*lines, '', '')).encode('latin-1') + body


class Store:
    """The platform's store: items, watches and one revision counter."""

    def __init__(self):
        """Begin with no items."""
        self.revision = 1
        self.items = {}
        self.events = []
        self._changed = asyncio.Event()
        self.address = ''
        self.watches = 0
        self.is_down = False

    async def start(self, host, port):
        """Listen at an address."""
        await asyncio.start_server(self._serve, host, port)
        self.address = f'{host}:{port}'

    def put(self, key, value):
        """Write an item; the return is the acknowledgement."""
        self.revision += 1
        content = base64.b64encode(json.dumps(value).encode()).decode()
        item = {'key': key, 'value': content, 'revision': self.revision}
        item.update(created=self.revision, lease=0)
        self.items[key] = item
        self._tell(item)

    def delete(self, key):
        """Remove an item; the return is the acknowledgement."""
        self.revision += 1
        self.items.pop(key, None)
        self._tell({'key': key, 'revision': self.revision, 'tombstone': True})

    def _tell(self, event):
        self.events.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _find_events(self, prefix, after):
        return [
            event
            for event in self.events
            if event['revision'] > after and event['key'].startswith(prefix)
        ]

    async def _serve(self, reader, writer):
        try:
            await self._answer(reader, writer)
        finally:
            writer.close()

    async def _answer(self, reader, writer):
        while (message := await read_message(reader)) is not None:
            url = urlsplit(message[0].split(' ')[1])
            query = {name: v[0] for name, v in parse_qs(url.query).items()}
            await asyncio.sleep(0.004)
            if self.is_down:
                writer.write(make_answer(503, {}, b''))
                continue
            if url.path == '/wagtailline/kv-range':
                answer = self._list(query)
            else:
                self.watches += 1
                answer = await self._watch(query)
                self.watches -= 1
            body = json.dumps(answer).encode()
            writer.write(
                make_answer(200, {'Content-Type': 'application/json'}, body)
            )

    async def wait_unwatched(self):
        """Wait until no caller waits for a change."""
        for _ in range(500):
            if not self.watches:
                return
            await asyncio.sleep(0.01)
        raise CannotRun('a caller always waits at the store')

    def _list(self, query):
        prefix, after = query.get('prefix', ''), query.get('after', '')
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        items = [self.items[key] for key in keys[:500]]
        return {
            'items': items,
            'hasMore': len(keys) > 500,
            'at': self.revision,
        }

    async def _watch(self, query):
        prefix, after = query.get('prefix', ''), int(query['after'])
        ends_at = time.monotonic() + int(query['waitMs']) / 1000
        while not (events := self._find_events(prefix, after)):
            left = ends_at - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                break
        return {'events': events, 'at': self.revision}


class Endpoint:
    """An endpoint beside one machine; it runs requests and says so."""

    def __init__(self, machine, service, record, work_s=0.02):
        """Set up an endpoint that is not started."""
        self.machine = machine
        self.service = service
        self.identity = f'i-{machine.number:08x}'
        self.record = record
        self.work_s = work_s
        self.body = b'x' * 200
        self.runs = []
        self._server = None
        self._writers = set()

    async def start(self, store, zone):
        """Listen, and register in the store as ready."""
        machine = self.machine
        host, port = machine.host, machine.ports['app']
        self._server = await asyncio.start_server(self._serve, host, port)
        store.put(f'servers/{self.identity}', self.entry(zone))

    def entry(self, zone):
        """Return the entry of the endpoint in the store."""
        return {
            'service': self.service,
            'address': f'{self.machine.host}:{self.machine.ports["app"]}',
            'zone': zone,
            'version': 'v1',
            'maxConcurrency': 6,
            'state': 'ready',
            'warmupLeftMs': 0,
            'sequence': 1,
            'born': int(time.time() * 1000),
        }

    def stop(self):
        """End: listen no more and close all connections."""
        self._server.close()
        for writer in self._writers:
            writer.close()

    def crash(self):
        """End at once: reset all connections and refuse new ones."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await self._answer(reader, writer)
        except ConnectionError:
            # The endpoint has crashed, or the caller has left.
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, reader, writer):
        while (message := await read_message(reader)) is not None:
            first, headers, body = message
            method, target, _ = first.split(' ')
            if target == '/health':
                answer = make_answer(200, {'X-Instance-Id': self.identity}, b'')
            else:
                answer = await self.run(method, target, headers, body)
            writer.write(answer)
            await self.send_more(target, headers, writer)

    async def send_more(self, target, headers, writer):
        """Send nothing behind an answer; faulty endpoints do."""

    async def run(self, method, target, headers, body):
        """Run a request and return the bytes of the answer."""
        request_id = headers.get('x-attempt-id', '')
        if headers.get('x-expect-instance', self.identity) != self.identity:
            return make_answer(421, {'X-Instance-Id': self.identity}, b'')
        self.runs.append((self.record.now(), request_id))
        self.record.write(
            f'{self.identity} runs {request_id} {method} {target} '
            f'tenant={headers.get("x-tenant", "-")} bytes={len(body)}'
        )
        await asyncio.sleep(self.work_s)
        return make_answer(
            200,
            {'X-Attempt-Id': request_id, 'X-Server-Seal': f's.{request_id}'},
            self.body,
        )


class Machine:
    """A machine with the project's own program as a process."""

    def __init__(self, number, ports, zone, service, store, folder):
        """Set up a machine whose process is not started."""
        self.number = number
        self.host = f'127.0.0.{number}'
        self.ports = ports
        self.zone = zone
        self.service = service
        self.log = Path(folder) / f'log-{number}.txt'
        self._settings = Path(folder) / f'settings-{number}.json'
        self._settings.write_text(self._fill_template(store.address))
        self.process = None

    def _fill_template(self, source):
        fields = {
            'nodeName': f'machine-{self.number}',
            'zone': self.zone,
            'service': self.service,
            'listenAddrs.outbound': f'{self.host}:{self.ports["outbound"]}',
            'listenAddrs.inbound': f'{self.host}:{self.ports["inbound"]}',
            'listenAddrs.ready': f'{self.host}:{self.ports["ready"]}',
            'appAddr': f'{self.host}:{self.ports["app"]}',
            'platform.address': source,
            'limits.bandwidthMbps': 1000.0,
        }
        fields.update({f'bounds.{name}': v for name, v in BOUNDS.items()})
        text = (REPOSITORY / 'deploy/settings.json.tmpl').read_text()
        text = re.sub(
            r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}',
            lambda m: m[2].replace('{{.|json}}', json.dumps(fields[m[1]])),
            text,
        )
        text = re.sub(
            r'\{\{([\w.]+)\|json\}\}',
            lambda m: json.dumps(fields[m[1]]),
            text,
        )
        settings = json.loads(text)
        settings['metrics_port'] = self.ports['metrics']
        return json.dumps(settings)

    async def start(self):
        """Start the process with the command of the deploy file."""
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['WAGTAILLINE_SETTINGS'] = str(self._settings)
        environment['PYTHONPATH'] = str(REPOSITORY / 'target/deps')
        with self.log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                'python3',
                'target/app/sidecar.py',
                cwd=REPOSITORY,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    async def is_ready(self):
        """Ask the process as the platform does."""
        try:
            answer = await fetch(
                self.host, self.ports['ready'], '/wagtailline/readiness'
            )
        except OSError:
            return False
        return answer.startswith('HTTP/1.1 200')

    async def wait_ready(self, seconds=20):
        """Wait until the process says that it is ready."""
        ends_at = time.monotonic() + seconds
        while not await self.is_ready():
            if time.monotonic() > ends_at:
                raise CannotRun(f'machine {self.number} is not ready')
            await asyncio.sleep(0.1)

    async def end(self):
        """End the process."""
        if self.process is None or self.process.returncode is not None:
            return
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        await self.process.wait()


class CannotRun(Exception):
    """The case could not run."""


async def fetch(host, port, path):
    """Return the answer to one GET request on a connection of its own."""
    async with asyncio.timeout(2):
        reader, writer = await asyncio.open_connection(host, port)
        lines = (f'GET {path} HTTP/1.1', 'Host: x', 'Connection: close', '', '')
        writer.write('\r\n'.join(lines).encode())
        message = await read_message(reader)
        writer.close()
    if message is None:
        return ''
    return f'{message[0]}\n{message[2].decode()}'


def find_ports(numbers):
    """Return ports that are free at the addresses of all machines."""
    hosts = [f'127.0.0.{number}' for number in numbers]
    found = []
    for port in range(21000 + os.getpid() % 3000 * 3, 61000):
        if all(_is_free(host, port) for host in hosts):
            found.append(port)
        if len(found) == len(PORT_NAMES) + 1:
            return dict(zip((*PORT_NAMES, 'store'), found, strict=True))
    raise CannotRun('no free ports')


def _is_free(host, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


def make_configuration(version, routes, services, tenants=None, **limits):
    """Return a configuration as the operator writes it."""
    configuration = {
        'version': version,
        'routes': routes,
        'services': {
            name: {
                'healthPath': '/health',
                'maxConns': 120,
                'warmupS': 3,
                'warmupPerS': 6.1,
            }
            for name in services
        },
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 1048576,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
            **limits,
        },
    }
    if tenants:
        configuration['tenants'] = tenants
    return configuration


def make_route(prefix, service, kind='safe', **fields):
    """Return a route of the host ``shop.example``."""
    return {
        'host': 'shop.example',
        'prefix': prefix,
        'routeKind': kind,
        'timeoutMs': 1000,
        'sloMs': 500,
        'priority': 2,
        'service': service,
        'maxAttempts': 2,
        'public': False,
        **fields,
    }


async def connect(machine):
    """Return the streams of a new connection to a machine."""
    return await asyncio.open_connection(
        machine.host, machine.ports['outbound']
    )


def make_request(
    target, request_id, method='GET', body=b'', key='', deadline_ms=1000
):
    """Return the bytes of a request of a client."""
    lines = [
        f'{method} {target} HTTP/1.1',
        'Host: shop.example',
        f'X-Attempt-Id: {request_id}',
        f'X-Deadline-Ms: {deadline_ms}',
    ]
    if key:
        lines.append(f'Authorization: Bearer {key}')
    if body:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode() + body


class Client:
    """A client with one kept connection to the machine that it is on."""

    def __init__(self, machine, record, name):
        """Set up a client that is not connected."""
        self._machine = machine
        self._record = record
        self._name = name
        self._number = 0
        self._streams = None

    async def request(
        self, target, method='GET', body=b'', key='', deadline_ms=1000
    ):
        """Send a request; return its id, when it was sent, and the answer.

        The answer is a status and a body, or None where the connection ended
        before it was complete.
        """
        self._number += 1
        request_id = f'{self._name}-{self._number}'
        machine = self._machine
        if self._streams is None:
            self._streams = await connect(machine)
        reader, writer = self._streams
        sent_at = self._record.now()
        writer.write(
            make_request(target, request_id, method, body, key, deadline_ms)
        )
        message = None
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                message = await read_message(reader)
        except TimeoutError:
            pass
        if message is None:
            self.leave()
            self._record.write(f'{request_id} gets no whole answer')
            return request_id, sent_at, None
        status = int(message[0].split(' ')[1])
        if message[1].get('connection') == 'close':
            self.leave()
        self._record.write(f'{request_id} gets {status}')
        return request_id, sent_at, (status, message[2])

    def leave(self):
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


def start_task(work):
    """Start a task that runs until the end of the case."""
    task = asyncio.ensure_future(work)
    _TASKS.add(task)


async def cancel_others():
    """Cancel all other tasks and wait for their end."""
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await asyncio.sleep(0.05)


def stop_on_signal(task):
    """End the case, and with it its processes, when it is told to stop."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)


def has_trouble():
    """Return whether the disruption is to be made."""
    return os.environ.get('TROUBLE', '1') != '0'


def run_case(case, folder):
    """Run a case and exit with 1 if it broke its rule, 0 if it held, or 2.

    ``case`` is called with a record and a temporary folder, and returns what
    broke the rule, or nothing, and the machines to end.
    """
    machines = []

    async def run():
        stop_on_signal(asyncio.current_task())
        record = Record(folder)
        with tempfile.TemporaryDirectory() as scratch:
            try:
                async with asyncio.timeout(105):
                    return record, await case(record, scratch, machines)
            finally:
                for machine in machines:
                    await machine.end()
                await cancel_others()

    try:
        record, broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as problem:
        # Only a broken rule may end with 1, as an unexpected error would.
        sys.stdout.write(f'could not run: {problem!r}\n')
        sys.exit(2)
    for line in broken:
        record.write(f'BROKEN {line}')
        sys.stdout.write(f'BROKEN {line}\n')
    sys.stdout.write('rule broken\n' if broken else 'rule held\n')
    sys.exit(1 if broken else 0)
