"""Exchange of snapshots between the daemons of one data centre.

A daemon that asks for a snapshot gets the reply as soon as there is a newer
one, so changes pass from daemon to daemon without a delay.
"""

import asyncio
import itertools
import math
from collections.abc import Callable
from hashlib import blake2b

import msgspec
from result import Err, Ok, Result

from wagtailline.messages import Hello
from wagtailline.ports import (
    Address,
    Channel,
    ChannelClosed,
    DialFailed,
    Transport,
)
from wagtailline.uplink import Uplink
from wagtailline_sidecar._configuration_codec import (
    ConfigurationCodec,
    EncodedConfiguration,
    decode_configuration,
)
from wagtailline_sidecar.model import Endpoint
from wagtailline_sidecar.reading import (
    Reading,
)
from wagtailline_sidecar.snapshot import (
    SnapshotStore,
)
from wagtailline_sidecar.snapshot_messages import (
    PeerReading,
    PeerUnavailable,
    ReplyFigures,
    SnapshotReply,
    SnapshotRequest,
)
from wagtailline_sidecar.source_revision import NO_REVISION, NO_VERSION

_MILLISECONDS_PER_SECOND = 1000
_DIGEST_BYTES = 8
_NO_DIGEST = b''
_NO_CONFIGURATION = EncodedConfiguration(NO_VERSION, b'')


_NO_SNAPSHOT = SnapshotReply(0, -1, NO_REVISION, NO_VERSION, b'', b'', b'', ())
_ENDPOINTS = msgspec.msgpack.Decoder(tuple[Endpoint, ...])


class SnapshotExchange:
    """Client and server for snapshot requests between daemons."""

    def __init__(
        self,
        snapshots: SnapshotStore,
        transport: Transport,
        hello: Hello,
        find_address: Callable[[str], Address],
        boot: Callable[[], float],
        uplink: Uplink,
        reply_timeout_seconds: Callable[[], float],
    ) -> None:
        """Send ``hello`` on each connection; its purpose has to be control.

        Replies are counted on ``uplink``, so that bodies make room for them.
        A reply has ``reply_timeout_seconds`` for the way to the peer and back,
        where a large change may be on its way to other daemons first.
        """
        self._reply_timeout_seconds = reply_timeout_seconds
        self._uplink = uplink
        self._snapshots = snapshots
        self._transport = transport
        self._hello = hello
        self._find_address = find_address
        self._boot = boot
        self._numbers = itertools.count(1)
        self._channels: dict[str, Channel] = {}
        self._codec = ConfigurationCodec()
        self._cached_digest: tuple[tuple[Endpoint, ...], bytes] = ((), b'')
        self._waiting: set[asyncio.Future[None]] = set()
        snapshots.subscribe_confirmations(self._wake_waiting)

    async def fetch(
        self, host: str, max_wait_seconds: float = 0
    ) -> Result[PeerReading, PeerUnavailable]:
        """Return the snapshot of a peer, or why the peer supplies none.

        The peer may wait up to ``max_wait_seconds`` for a newer one.
        """
        requested_at = self._boot()
        try:
            async with asyncio.timeout(
                max_wait_seconds + self._reply_timeout_seconds()
            ):
                reply = await self._request_reply(host, max_wait_seconds)
        except (TimeoutError, ChannelClosed, DialFailed) as failure:
            return self._close_and_fail(host, type(failure).__name__)
        except asyncio.CancelledError:
            self._close(host)
            raise
        if reply.age_ms < 0:
            return Err(PeerUnavailable('no snapshot'))
        # The reply was sent at this time or later, and by now.
        sent_at = requested_at + reply.waited_ms / _MILLISECONDS_PER_SECOND
        sent_at = min(sent_at, self._boot())
        current_at = sent_at - reply.age_ms / _MILLISECONDS_PER_SECOND
        refreshed_at = sent_at - reply.refresh_age_ms / _MILLISECONDS_PER_SECOND
        try:
            reading = self._decode_reply(reply)
        except msgspec.DecodeError as problem:
            return self._close_and_fail(host, f'malformed reply: {problem}')
        figures = ReplyFigures(
            reply.waited_ms,
            reply.age_ms,
            len(reply.configuration) + len(reply.endpoints),
        )
        return Ok(PeerReading(reading, current_at, refreshed_at, figures))

    async def serve(self, channel: Channel) -> None:
        """Answer the requests of one peer until its connection closes."""
        await channel.send(self._hello)
        while True:
            request = await channel.receive()
            if not isinstance(request, SnapshotRequest):
                return channel.close()
            received_at = self._boot()
            await self._wait_for_news(request)
            waited_seconds = self._boot() - received_at
            reply = self._build_reply(request)._replace(
                waited_ms=int(waited_seconds * _MILLISECONDS_PER_SECOND)
            )
            self._uplink.charge(len(reply.configuration + reply.endpoints))
            await channel.send(reply)

    async def _wait_for_news(self, request: SnapshotRequest) -> None:
        """Wait until the peer's snapshot is older than that of this daemon."""
        if not self._is_known(request):
            return
        news: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.add(news)
        try:
            async with asyncio.timeout(
                request.max_wait_ms / _MILLISECONDS_PER_SECOND
            ):
                await news
        except TimeoutError:
            return
        finally:
            self._waiting.discard(news)

    def _is_known(self, request: SnapshotRequest) -> bool:
        snapshot = self._snapshots.current
        return (
            snapshot is not None
            and request.known == snapshot.configuration.order
            and request.endpoints_digest == self._digest_listed()
        )

    def _wake_waiting(self) -> None:
        for news in self._waiting:
            if not news.done():
                news.set_result(None)

    async def _request_reply(
        self, host: str, max_wait_seconds: float
    ) -> SnapshotReply:
        channel = self._channels.get(host) or await self._open_channel(host)
        number = next(self._numbers)
        snapshot = self._snapshots.current
        known, digest = NO_VERSION, _NO_DIGEST
        if snapshot is not None:
            known = snapshot.configuration.order
            digest = self._digest_listed()
        max_wait_ms = int(max_wait_seconds * _MILLISECONDS_PER_SECOND)
        await channel.send(SnapshotRequest(number, known, digest, max_wait_ms))
        while True:
            reply = await channel.receive()
            if not isinstance(reply, SnapshotReply):
                raise ChannelClosed
            if reply.number == number:
                return reply

    async def _open_channel(self, host: str) -> Channel:
        channel = await self._transport.dial(self._find_address(host))
        self._channels[host] = channel
        await channel.send(self._hello)
        await channel.receive()
        return channel

    def _close_and_fail(self, host: str, reason: str) -> Err[PeerUnavailable]:
        self._close(host)
        return Err(PeerUnavailable(reason))

    def _close(self, host: str) -> None:
        """Close the connection, because a late reply could arrive on it."""
        channel = self._channels.pop(host, None)
        if channel is not None:
            channel.close()

    def _build_reply(self, request: SnapshotRequest) -> SnapshotReply:
        snapshot = self._snapshots.current
        if snapshot is None:
            return _NO_SNAPSHOT._replace(number=request.number)
        encoded = _NO_CONFIGURATION
        if request.known != snapshot.configuration.order:
            encoded = self._codec.encode(snapshot.configuration, request.known)
        digest = self._digest_listed()
        endpoints = b''
        if request.endpoints_digest != digest:
            endpoints = msgspec.msgpack.encode(self._snapshots.listed_endpoints)
        return SnapshotReply(
            request.number,
            self._age_ms(self._snapshots.confirmed_at),
            snapshot.revision,
            encoded.base,
            encoded.content,
            endpoints,
            digest,
            tuple(sorted(snapshot.closed_data_centres)),
            self._age_ms(self._snapshots.refreshed_at),
            endpoints_revision=self._snapshots.endpoints_revision,
            is_after_outage=self._snapshots.is_after_outage,
            configuration_revision=self._snapshots.configuration_revision,
            era_start=self._snapshots.era_start,
        )

    def _age_ms(self, moment: float) -> int:
        """Return the milliseconds since a time since boot, rounded up."""
        age_seconds = max(self._boot() - moment, 0)
        return math.ceil(age_seconds * _MILLISECONDS_PER_SECOND)

    def _digest_listed(self) -> bytes:
        listed = self._snapshots.listed_endpoints
        endpoints, digest = self._cached_digest
        if endpoints is not listed or not digest:
            digest = digest_endpoints(listed)
            self._cached_digest = (listed, digest)
        return digest

    def _decode_reply(self, reply: SnapshotReply) -> Reading:
        snapshot = self._snapshots.current
        configuration = None
        if reply.configuration:
            configuration = decode_configuration(
                EncodedConfiguration(reply.base, reply.configuration),
                snapshot.configuration if snapshot else None,
            )
        endpoints = self._snapshots.listed_endpoints
        if reply.endpoints:
            endpoints = _ENDPOINTS.decode(reply.endpoints)
        return Reading(
            reply.revision,
            configuration,
            endpoints,
            frozenset(reply.closed_data_centres),
            reply.endpoints_revision,
            reply.is_after_outage,
            reply.configuration_revision,
            reply.era_start,
        )


def digest_endpoints(endpoints: tuple[Endpoint, ...]) -> bytes:
    """Return a digest of the endpoints that ignores the progress of warm-ups.

    The remaining warm-up time changes continuously. It concerns only the gate
    on the endpoint's VM, which checks its health when a warm-up begins.
    """
    digest = blake2b(digest_size=_DIGEST_BYTES)
    for endpoint in sorted(endpoints):
        is_cold = endpoint.warm_up_left_seconds > 0
        stable_fields = endpoint._replace(warm_up_left_seconds=is_cold)
        digest.update(msgspec.msgpack.encode(stable_fields))
    return digest.digest()
