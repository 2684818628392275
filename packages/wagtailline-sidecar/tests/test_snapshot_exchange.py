"""Snapshots between daemons, over loopback."""

from _fixtures import (
    FakeClock,
    make_account,
    make_configuration,
    make_endpoint,
    make_route,
)

from wagtailline.codec import Codec
from wagtailline.messages import CONNECTION_KINDS, PURPOSE_CONTROL, Hello
from wagtailline.ports import Address
from wagtailline.streams import StreamTransport
from wagtailline_sidecar.model import RequestKind, Share
from wagtailline_sidecar.snapshot import Reading, SnapshotStore
from wagtailline_sidecar.snapshot_exchange import (
    SNAPSHOT_KINDS,
    SnapshotExchange,
    digest_endpoints,
)

HELLO = Hello(1, 'vm', 'host', 'oslo-a', 1, PURPOSE_CONTROL)


class Node:
    def __init__(self) -> None:
        self.clock = FakeClock()
        self.snapshots = SnapshotStore(self.clock, lambda event: None)
        self.transport = StreamTransport(
            Codec({**CONNECTION_KINDS, **SNAPSHOT_KINDS})
        )
        self.address = Address('127.0.0.1', 0)
        self.peer: Node | None = None
        self.exchange = SnapshotExchange(
            self.snapshots,
            self.transport,
            HELLO,
            lambda host: self.peer.address,
            self.clock.boot,
        )

    async def listen(self) -> None:
        async def accept(channel):
            await channel.receive()
            await self.exchange.serve(channel)

        listener = await self.transport.serve(self.address, accept)
        self.address = listener.address

    def read(self, revision, configuration, endpoints, closed=()):
        reading = Reading(revision, configuration, endpoints, frozenset(closed))
        self.snapshots.apply(reading, self.clock.now)

    async def take_over(self) -> bool:
        asked = await self.exchange.ask('peer')
        if asked is None:
            return False
        self.snapshots.apply(asked.reading, asked.current_at)
        return True


async def make_pair() -> tuple[Node, Node]:
    reader, asker = Node(), Node()
    await reader.listen()
    asker.peer = reader
    return reader, asker


CONFIGURATION = make_configuration(
    make_route(
        shares=(Share('desk', 1), Share('vault', 2.5)),
        kind=RequestKind.DOWNLOAD,
    ),
    version=7,
    accounts=(make_account(),),
)
ENDPOINTS = (make_endpoint('e1'),)


async def test_snapshot_arrives_whole():
    """Guards against a snapshot that loses something on the way."""
    reader, asker = await make_pair()
    reader.read(5, CONFIGURATION, ENDPOINTS, {'oslo-b'})
    assert await asker.take_over()
    assert asker.snapshots.current == reader.snapshots.current


async def test_only_differences_are_sent():
    """Guards against a whole configuration in each answer."""
    reader, asker = await make_pair()
    reader.read(5, CONFIGURATION, ENDPOINTS)
    await asker.take_over()
    held = asker.snapshots.current.configuration
    reader.read(6, CONFIGURATION, (*ENDPOINTS, make_endpoint('e2')), ())
    await asker.take_over()
    assert asker.snapshots.current.configuration is held
    assert asker.snapshots.current.revision == 6


async def test_age_adds_up():
    """Guards against an old snapshot that counts as current when passed on."""
    reader, asker = await make_pair()
    reader.read(5, CONFIGURATION, ENDPOINTS)
    reader.clock.now += 3
    await asker.take_over()
    assert 3 <= asker.snapshots.age_seconds < 3.1


async def test_time_of_the_question_counts():
    """Guards against an answer that waited while the asker was suspended."""
    reader, asker = await make_pair()
    reader.read(5, CONFIGURATION, ENDPOINTS)
    asked = await asker.exchange.ask('peer')
    asker.clock.now += 10
    asker.snapshots.apply(asked.reading, asked.current_at)
    assert asker.snapshots.age_seconds >= 10


async def test_peer_without_a_snapshot_gives_none():
    """Guards against an empty snapshot that is taken over."""
    _, asker = await make_pair()
    assert not await asker.take_over()


async def test_peer_that_is_gone_gives_none():
    """Guards against a wait for a peer that does not listen."""
    asker, gone = Node(), Node()
    gone.address = Address('127.0.0.1', 9)
    asker.peer = gone
    assert not await asker.take_over()


async def test_each_change_of_endpoints_arrives():
    """Guards against a kept digest that hides a later change."""
    reader, asker = await make_pair()
    first, second = make_endpoint('e1'), make_endpoint('e2')
    for revision, listed in enumerate(((first,), (first, second), (second,))):
        reader.read(revision, CONFIGURATION, listed)
        await asker.take_over()
        assert (
            asker.snapshots.current.endpoints
            == reader.snapshots.current.endpoints
        )


def test_heartbeats_do_not_change_the_digest():
    """Guards against a list of endpoints in each answer."""
    cold = make_endpoint(warm_up_left_seconds=2.5)
    colder = make_endpoint(warm_up_left_seconds=2.9)
    leaving = make_endpoint(is_ready=False)
    assert digest_endpoints((cold,)) == digest_endpoints((colder,))
    assert digest_endpoints((cold,)) != digest_endpoints((leaving,))


def test_begin_of_a_warm_up_changes_the_digest():
    """Guards against a gate that never learns that its upstream is cold."""
    warm = make_endpoint(warm_up_left_seconds=0)
    cold = make_endpoint(warm_up_left_seconds=2.5)
    assert digest_endpoints((warm,)) != digest_endpoints((cold,))
