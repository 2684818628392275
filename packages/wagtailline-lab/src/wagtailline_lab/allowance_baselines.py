"""Simple distributed rate limiters that benchmarks compare with.

One gives every daemon an equal share of each limit. The other one has a
coordinator per data centre, which is selected by failure detection.
"""

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

_PING_INTERVAL_SECONDS = 0.3
_SUSPECT_AFTER_SECONDS = 1
# Each daemon pings only this many others: in a data centre of 50, pings to
# all would cost more than the calls.
_CANDIDATE_COUNT = 6
_REQUEST_TIMEOUT_SECONDS = 0.1
_SHORTEST_WAIT_SECONDS = 0.0001


class _Bucket:
    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._updated_at = now

    def take(self, now: float) -> float:
        """Take a token and return 0, or the seconds until there is one."""
        elapsed = now - self._updated_at
        self._level = min(self._burst, self._level + elapsed * self._rate)
        self._updated_at = now
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
        """Take the same arguments as ``Allowance``."""
        self._identity = identity
        self._snapshots = snapshots
        self._peers = peers
        self._clock = clock
        self._buckets: dict[str, _Bucket] = {}
        self._endpoints: list[Endpoint] = []

    async def start(self) -> None:
        """Start with full buckets."""
        self._buckets.clear()

    async def stop(self) -> None:
        """Discard the buckets."""
        self._buckets.clear()

    async def acquire(
        self, limit_name: str, timeout_seconds: float
    ) -> Result[None, AllowanceRefusal]:
        """Admit a call, waiting for a token up to the timeout."""
        deadline = self._clock.monotonic() + timeout_seconds
        wait = await self.request_token(limit_name)
        while wait:
            if self._clock.monotonic() + wait > deadline:
                refusal = AllowanceRefusal(limit_name, REASON_EXHAUSTED, wait)
                return Err(refusal)
            # Rounding may leave a wait that is too short to advance the clock.
            await self._clock.sleep(max(wait, _SHORTEST_WAIT_SECONDS))
            wait = await self.request_token(limit_name)
        return Ok(None)

    @abstractmethod
    async def request_token(self, limit_name: str) -> float:
        """Take a token and return 0, or the seconds until a retry."""

    def take(self, name: str, share_count: int) -> float:
        """Take a token from this daemon's bucket, an equal part of the limit.

        Return 0, or the seconds until a retry.
        """
        now = self._clock.monotonic()
        if name not in self._buckets:
            snapshot = self._snapshots.current
            limit = snapshot.find_limit(name) if snapshot else None
            if limit is None:
                return 1
            self._buckets[name] = _Bucket(
                limit.rate / share_count, limit.burst / share_count, now
            )
        return self._buckets[name].take(now)

    def endpoints(self) -> list[Endpoint]:
        """Return all published endpoints."""
        if not self._endpoints and self._snapshots.current is not None:
            objects = self._snapshots.current.objects.values()
            self._endpoints = [
                published
                for published in objects
                if isinstance(published, Endpoint)
            ]
        return self._endpoints


class EqualShares(_Baseline):
    """Rate limiter in which every daemon has a fixed, equal share."""

    async def request_token(self, limit_name: str) -> float:
        """Take a token from the share of this daemon."""
        return self.take(limit_name, len(self.endpoints()))


class TakeToken(NamedTuple):
    """Request to the coordinator for one token."""

    limit: str


class TokenReply(NamedTuple):
    """Reply to ``TakeToken``: 0 with a token, else seconds until a retry."""

    wait_seconds: float


class Ping(NamedTuple):
    """Request that a live peer sends back as its reply."""

    endpoint: str


class Coordinator(_Baseline):
    """Rate limiter with one coordinator for the share of a data centre.

    The coordinator is the first daemon by name that answers pings. During a
    partition each side therefore has its own coordinator, and together they
    may admit too many calls.
    """

    async def start(self) -> None:
        """Start to ping the candidates for coordinator in the data centre."""
        endpoint_names = sorted(
            endpoint.name
            for endpoint in self.endpoints()
            if endpoint.data_centre == self._identity.data_centre
        )
        now = self._clock.monotonic()
        candidates = (
            *endpoint_names[:_CANDIDATE_COUNT],
            self._identity.endpoint,
        )
        self._last_replies = dict.fromkeys(candidates, now)
        self._peers.register(TakeToken, self._handle_take)
        self._peers.register(Ping, self._handle_ping)
        self._task = asyncio.ensure_future(self._ping_periodically())

    async def stop(self) -> None:
        """Stop the pings."""
        self._task.cancel()

    async def request_token(self, limit_name: str) -> float:
        """Request a token from the coordinator."""
        endpoint = self._find_coordinator()
        if endpoint == self._identity.endpoint:
            return self.take(limit_name, self._count_data_centres())
        reply = await self._peers.request(
            endpoint, TakeToken(limit_name), _REQUEST_TIMEOUT_SECONDS
        )
        return reply.wait_seconds if isinstance(reply, TokenReply) else 1

    def _find_coordinator(self) -> str:
        now = self._clock.monotonic()
        return min(
            name
            for name, replied_at in self._last_replies.items()
            if name == self._identity.endpoint
            or replied_at > now - _SUSPECT_AFTER_SECONDS
        )

    def _count_data_centres(self) -> int:
        return len({endpoint.data_centre for endpoint in self.endpoints()})

    async def _ping_periodically(self) -> None:
        while True:
            await asyncio.gather(
                *(self._ping(name) for name in self._last_replies)
            )
            await self._clock.sleep(_PING_INTERVAL_SECONDS)

    async def _ping(self, endpoint: str) -> None:
        reply = await self._peers.request(
            endpoint, Ping(self._identity.endpoint), _REQUEST_TIMEOUT_SECONDS
        )
        if reply is not None:
            self._last_replies[endpoint] = self._clock.monotonic()

    async def _handle_take(
        self, sender: str, message: Message
    ) -> Message | None:
        if isinstance(message, TakeToken):
            return TokenReply(
                self.take(message.limit, self._count_data_centres())
            )
        return None

    async def _handle_ping(self, sender: str, message: Message) -> Message:
        return message


BASELINE_KINDS: dict[int, type[Message]] = {
    1000: TakeToken,
    1001: TokenReply,
    1002: Ping,
}
