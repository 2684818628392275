"""Handlers of the messages of the membership subsystem."""

from collections.abc import Callable, Iterable

from wagtailline.codec import Message
from wagtailline.membership._background import Background
from wagtailline.membership._local import LocalMember
from wagtailline.membership._probing import Prober
from wagtailline.membership._sync import Synchronizer
from wagtailline.membership.messages import (
    IndirectProbe,
    IndirectReply,
    MemberProbe,
    MemberSync,
    MemberUpdate,
    ScopeDigest,
)


class Handlers:
    """Answers peers; longer work runs in tasks of its own."""

    def __init__(
        self,
        local: LocalMember,
        prober: Prober,
        sync: Synchronizer,
        background: Background,
    ) -> None:
        """Share the parts of the service."""
        self._local = local
        self._prober = prober
        self._sync = sync
        self._background = background
        self._attests: Callable[[], bool] = _refuse

    def register(self, attests: Callable[[], bool]) -> None:
        """Receive messages; ``attests`` allows to confirm other members."""
        self._attests = attests
        peers = self._local.environment.peers
        peers.register(MemberUpdate, self._on_update)
        peers.register(MemberProbe, self._on_probe)
        peers.register(IndirectProbe, self._on_indirect_probe)
        peers.register(IndirectReply, self._on_indirect_reply)
        peers.register(MemberSync, self._on_sync)

    def compare(self, endpoint: str, scopes: Iterable[ScopeDigest]) -> None:
        """Begin to exchange differences with a peer whose digest differs."""
        due = self._sync.find_due(scopes)
        if due is not None:
            self._background.run(self._sync.pull(endpoint, due))

    async def _on_update(self, update: MemberUpdate) -> None:
        self._local.take_news(update.news)

    async def _on_probe(self, probe: MemberProbe) -> Message | None:
        # A replaced process does not answer for its former endpoint.
        if self._local.successor is not None:
            return None
        reply = self._prober.answer(probe, attests=self._attests())
        self.compare(probe.sender.endpoint, probe.scopes)
        return reply

    async def _on_indirect_probe(self, request: IndirectProbe) -> None:
        self._background.run(self._prober.relay(request))

    async def _on_indirect_reply(self, reply: IndirectReply) -> None:
        self._prober.take_relayed(reply)

    async def _on_sync(self, request: MemberSync) -> Message | None:
        return self._sync.answer(request)


def _refuse() -> bool:
    return False
