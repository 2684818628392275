"""Baselines of the allowance: equal shares, and a coordinator by liveness."""

import asyncio
from abc import ABC, abstractmethod
from random import Random
from typing import NamedTuple

from result import Err, Ok, Result

from wagtailline.allowance import (
    REASON_EXHAUSTED,
    AllowanceRefusal,
    AllowanceSettings,
    Identity,
    PeerRequests,
)
from wagtailline.codec import Message
from wagtailline.objects import Endpoint
from wagtailline.ports import Clock
from wagtailline.snapshot import SnapshotStore

_PING_SECONDS = 0.3
_SUSPECT_SECONDS = 1
# Each daemon pings only these, as pinging all of 50 costs more than the load.
_CANDIDATES = 6
_REQUEST_SECONDS = 0.1
_SHORTEST_WAIT_SECONDS = 0.0001


class _Bucket:
    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._at = now

    def take(self, now: float) -> float:
        """Take a token and return zero, or the seconds until there is one."""
        passed = now - self._at
        self._level = min(self._burst, self._level + passed * self._rate)
        self._at = now
        if self._level < 1:
            return (1 - self._level) / self._rate
        self._level -= 1
        return 0


class _Baseline(ABC):
    def __init__(
        self,
        identity: Identity,
        snapshots: SnapshotStore,
        peers: PeerRequests,
        clock: Clock,
        random: Random,
        settings: AllowanceSettings,
    ) -> None:
        """Take what the chosen mechanism takes."""
        self._identity = identity
        self._snapshots = snapshots
        self._peers = peers
        self._clock = clock
        self._buckets: dict[str, _Bucket] = {}
        self._endpoints: list[Endpoint] = []

    async def start(self) -> None:
        """Begin with full buckets."""
        self._buckets.clear()

    async def stop(self) -> None:
        """Forget the buckets."""
        self._buckets.clear()

    async def acquire(
        self, limit_name: str, timeout_seconds: float
    ) -> Result[None, AllowanceRefusal]:
        """Admit a call, waiting for a token up to the timeout."""
        deadline = self._clock.monotonic() + timeout_seconds
        wait = await self.ask(limit_name)
        while wait:
            if self._clock.monotonic() + wait > deadline:
                refusal = AllowanceRefusal(limit_name, REASON_EXHAUSTED, wait)
                return Err(refusal)
            # Rounding may leave a wait too short to move the clock.
            await self._clock.sleep(max(wait, _SHORTEST_WAIT_SECONDS))
            wait = await self.ask(limit_name)
        return Ok(None)

    @abstractmethod
    async def ask(self, limit_name: str) -> float:
        """Return zero for a token, or the seconds until there is one."""

    def take(self, name: str, parts: int) -> float:
        """Take a token of one of the equal parts of a limit."""
        now = self._clock.monotonic()
        if name not in self._buckets:
            snapshot = self._snapshots.current
            limit = snapshot.find_limit(name) if snapshot else None
            if limit is None:
                return 1
            self._buckets[name] = _Bucket(
                limit.rate / parts, limit.burst / parts, now
            )
        return self._buckets[name].take(now)

    def endpoints(self) -> list[Endpoint]:
        """Return all published endpoints."""
        if not self._endpoints and self._snapshots.current is not None:
            objects = self._snapshots.current.objects.values()
            self._endpoints = [
                each for each in objects if isinstance(each, Endpoint)
            ]
        return self._endpoints


class EqualShares(_Baseline):
    """Every daemon has the same fixed part of each limit."""

    async def ask(self, limit_name: str) -> float:
        """Take a token out of the own part."""
        return self.take(limit_name, len(self.endpoints()))


class TakeToken(NamedTuple):
    """Asks the coordinator for one token."""

    limit: str


class TokenReply(NamedTuple):
    """Zero seconds for a token, else the time until there is one."""

    wait_seconds: float


class Ping(NamedTuple):
    """Asks a peer whether it is alive."""

    endpoint: str


class Coordinator(_Baseline):
    """The first live daemon of a data centre owns that one's part.

    Liveness is what pings tell, so that both sides of a partition have a
    coordinator of their own.
    """

    async def start(self) -> None:
        """Begin to ping the other daemons of the data centre."""
        names = sorted(
            endpoint.name
            for endpoint in self.endpoints()
            if endpoint.data_centre == self._identity.data_centre
        )
        now = self._clock.monotonic()
        candidates = (*names[:_CANDIDATES], self._identity.endpoint)
        self._heard = dict.fromkeys(candidates, now)
        self._peers.register(TakeToken, self._on_take)
        self._peers.register(Ping, self._on_ping)
        self._task = asyncio.ensure_future(self._ping_for_ever())

    async def stop(self) -> None:
        """End the pings."""
        self._task.cancel()

    async def ask(self, limit_name: str) -> float:
        """Ask the coordinator for each call."""
        endpoint = self._find_coordinator()
        if endpoint == self._identity.endpoint:
            return self.take(limit_name, self._count_data_centres())
        reply = await self._peers.request(
            endpoint, TakeToken(limit_name), _REQUEST_SECONDS
        )
        return reply.wait_seconds if isinstance(reply, TokenReply) else 1

    def _find_coordinator(self) -> str:
        now = self._clock.monotonic()
        return min(
            name
            for name, heard in self._heard.items()
            if name == self._identity.endpoint or heard > now - _SUSPECT_SECONDS
        )

    def _count_data_centres(self) -> int:
        return len({each.data_centre for each in self.endpoints()})

    async def _ping_for_ever(self) -> None:
        while True:
            await asyncio.gather(*(self._ping(name) for name in self._heard))
            await self._clock.sleep(_PING_SECONDS)

    async def _ping(self, endpoint: str) -> None:
        reply = await self._peers.request(
            endpoint, Ping(self._identity.endpoint), _REQUEST_SECONDS
        )
        if reply is not None:
            self._heard[endpoint] = self._clock.monotonic()

    async def _on_take(self, sender: str, message: Message) -> Message | None:
        if isinstance(message, TakeToken):
            return TokenReply(
                self.take(message.limit, self._count_data_centres())
            )
        return None

    async def _on_ping(self, sender: str, message: Message) -> Message:
        return message


BASELINE_KINDS: dict[int, type[Message]] = {
    1000: TakeToken,
    1001: TokenReply,
    1002: Ping,
}
