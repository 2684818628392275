"""Handlers of incoming membership messages."""

from collections.abc import Callable, Iterable

from wagtailline.codec import Message
from wagtailline.membership._background import BackgroundTasks
from wagtailline.membership._local import LocalMember
from wagtailline.membership._probing import Prober
from wagtailline.membership._sync import Synchronizer
from wagtailline.membership.messages import (
    DataCentreDigest,
    GossipMessage,
    IndirectProbe,
    IndirectProbeReply,
    MemberProbe,
    SyncRequest,
)


class Handlers:
    """Message handlers; synchronization and relayed probes run as tasks."""

    def __init__(
        self,
        local: LocalMember,
        prober: Prober,
        sync: Synchronizer,
        background: BackgroundTasks,
    ) -> None:
        """Dispatch messages to these parts of the service."""
        self._local = local
        self._prober = prober
        self._sync = sync
        self._background = background
        self._attests: Callable[[], bool] = _refuse

    def register(self, attests: Callable[[], bool]) -> None:
        """Register all handlers.

        ``attests`` returns whether this process may attest that another
        member holds its endpoint.
        """
        self._attests = attests
        peers = self._local.environment.peers
        peers.register(GossipMessage, self._on_gossip)
        peers.register(MemberProbe, self._on_probe)
        peers.register(IndirectProbe, self._on_indirect_probe)
        peers.register(IndirectProbeReply, self._on_indirect_reply)
        peers.register(SyncRequest, self._on_sync)

    def compare_digests(
        self, endpoint: str, digests: Iterable[DataCentreDigest]
    ) -> None:
        """Start to synchronize with a peer if one of its digests differs."""
        data_centre = self._sync.select_data_centre(digests)
        if data_centre is not None:
            self._background.run(self._sync.synchronize(endpoint, data_centre))

    async def _on_gossip(self, message: GossipMessage) -> None:
        self._local.merge_updates(message.updates)

    async def _on_probe(self, probe: MemberProbe) -> Message | None:
        # A process with a successor no longer answers for its endpoint.
        if self._local.successor is not None:
            return None
        reply = self._prober.answer(probe, attests=self._attests())
        self.compare_digests(probe.sender.endpoint, probe.digests)
        return reply

    async def _on_indirect_probe(self, request: IndirectProbe) -> None:
        self._background.run(self._prober.relay(request))

    async def _on_indirect_reply(self, reply: IndirectProbeReply) -> None:
        self._prober.complete_indirect_probe(reply)

    async def _on_sync(self, request: SyncRequest) -> Message | None:
        return self._sync.answer(request)


def _refuse() -> bool:
    return False
