"""Daemons of one data centre pass on the snapshot that one of them read."""

import asyncio
import itertools
from collections.abc import Callable
from hashlib import blake2b
from typing import NamedTuple

import msgspec

from wagtailline.codec import Message
from wagtailline.messages import Hello
from wagtailline.ports import (
    Address,
    Channel,
    ChannelClosed,
    DialFailed,
    Transport,
)
from wagtailline_sidecar._configuration_codec import (
    ConfigurationCodec,
    EncodedConfiguration,
    decode_configuration,
)
from wagtailline_sidecar.model import Endpoint, Snapshot
from wagtailline_sidecar.snapshot import Reading, SnapshotStore

# A peer in the same data centre answers within milliseconds.
ANSWER_TIMEOUT_SECONDS = 0.25
_MILLISECONDS = 1000
_DIGEST_BYTES = 8
_NO_DIGEST = b''
_NO_CONFIGURATION = EncodedConfiguration(0, b'')


class SnapshotRequest(NamedTuple):
    """Asks for what differs from the version and endpoints that are known."""

    number: int
    version: int
    endpoints_digest: bytes


class SnapshotReply(NamedTuple):
    """The snapshot of a peer, and how long ago it was known to be current.

    ``configuration`` and ``endpoints`` are empty when the asker has them. A
    configuration holds the changes since ``base_version``, if that is not 0.
    """

    number: int
    age_ms: int
    revision: int
    base_version: int
    configuration: bytes
    endpoints: bytes
    endpoints_digest: bytes
    closed_data_centres: tuple[str, ...]


SNAPSHOT_KINDS: dict[int, type[Message]] = {
    84: SnapshotRequest,
    85: SnapshotReply,
}

_ENDPOINTS = msgspec.msgpack.Decoder(tuple[Endpoint, ...])


class Asked(NamedTuple):
    """A reading that a peer passed on, and when it was current."""

    reading: Reading
    current_at: float


class SnapshotExchange:
    """Asks peers for their snapshot and answers what they ask."""

    def __init__(
        self,
        snapshots: SnapshotStore,
        transport: Transport,
        hello: Hello,
        find_address: Callable[[str], Address],
        boot: Callable[[], float],
    ) -> None:
        """Introduce itself by ``hello``, whose purpose is control."""
        self._snapshots = snapshots
        self._transport = transport
        self._hello = hello
        self._find_address = find_address
        self._boot = boot
        self._numbers = itertools.count(1)
        self._channels: dict[str, Channel] = {}
        self._codec = ConfigurationCodec()
        self._digested: tuple[tuple[Endpoint, ...], bytes] = ((), b'')

    async def ask(self, host: str) -> Asked | None:
        """Return the snapshot of a peer; None when it has none to give."""
        asked_at = self._boot()
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                reply = await self._exchange(host)
        except (TimeoutError, ChannelClosed, DialFailed):
            self._drop(host)
            return None
        if reply is None or reply.age_ms < 0:
            return None
        current_at = asked_at - reply.age_ms / _MILLISECONDS
        try:
            return Asked(self._decode(reply), current_at)
        except msgspec.DecodeError:
            self._drop(host)
            return None

    async def serve(self, channel: Channel) -> None:
        """Answer the requests of one peer until its connection ends."""
        await channel.send(self._hello)
        while True:
            request = await channel.receive()
            if not isinstance(request, SnapshotRequest):
                return channel.close()
            await channel.send(self._answer(request))

    async def _exchange(self, host: str) -> SnapshotReply | None:
        channel = self._channels.get(host) or await self._open(host)
        number = next(self._numbers)
        snapshot = self._snapshots.current
        version, digest = 0, _NO_DIGEST
        if snapshot is not None:
            version = snapshot.configuration.version
            digest = self._digest(snapshot)
        await channel.send(SnapshotRequest(number, version, digest))
        while True:
            reply = await channel.receive()
            if not isinstance(reply, SnapshotReply):
                raise ChannelClosed
            if reply.number == number:
                return reply

    async def _open(self, host: str) -> Channel:
        channel = await self._transport.dial(self._find_address(host))
        self._channels[host] = channel
        await channel.send(self._hello)
        await channel.receive()
        return channel

    def _drop(self, host: str) -> None:
        channel = self._channels.pop(host, None)
        if channel is not None:
            channel.close()

    def _answer(self, request: SnapshotRequest) -> SnapshotReply:
        snapshot = self._snapshots.current
        if snapshot is None:
            return SnapshotReply(request.number, -1, 0, 0, b'', b'', b'', ())
        encoded = _NO_CONFIGURATION
        if request.version != snapshot.configuration.version:
            encoded = self._codec.encode(
                snapshot.configuration, request.version
            )
        digest = self._digest(snapshot)
        endpoints = b''
        if request.endpoints_digest != digest:
            endpoints = msgspec.msgpack.encode(snapshot.endpoints)
        return SnapshotReply(
            request.number,
            max(int(self._snapshots.age_seconds * _MILLISECONDS) + 1, 0),
            snapshot.revision,
            encoded.base_version,
            encoded.content,
            endpoints,
            digest,
            tuple(sorted(snapshot.closed_data_centres)),
        )

    def _digest(self, snapshot: Snapshot) -> bytes:
        endpoints, digest = self._digested
        if endpoints is not snapshot.endpoints or not digest:
            digest = digest_endpoints(snapshot.endpoints)
            self._digested = (snapshot.endpoints, digest)
        return digest

    def _decode(self, reply: SnapshotReply) -> Reading:
        snapshot = self._snapshots.current
        configuration = None
        if reply.configuration:
            configuration = decode_configuration(
                EncodedConfiguration(reply.base_version, reply.configuration),
                snapshot.configuration if snapshot else None,
            )
        endpoints = snapshot.endpoints if snapshot else ()
        if reply.endpoints:
            endpoints = _ENDPOINTS.decode(reply.endpoints)
        return Reading(
            reply.revision,
            configuration,
            endpoints,
            frozenset(reply.closed_data_centres),
        )


def digest_endpoints(endpoints: tuple[Endpoint, ...]) -> bytes:
    """Return a digest of what decides about endpoints.

    The rest of a warm-up changes all the time and matters only to the gate
    beside the endpoint, which asks for its health when one begins.
    """
    digest = blake2b(digest_size=_DIGEST_BYTES)
    for endpoint in sorted(endpoints):
        is_cold = endpoint.warm_up_left_seconds > 0
        fixed = endpoint._replace(warm_up_left_seconds=is_cold)
        digest.update(msgspec.msgpack.encode(fixed))
    return digest.digest()
