"""Adapter of the rate limit allowance to the interface of the ingress."""

from typing import NamedTuple

from result import Result

from wagtailline.allowance import Allowance, AllowanceRefusal

_MILLISECONDS_PER_SECOND = 1000


class LimitReached(NamedTuple):
    """Refusal of a request because its rate limit is exhausted."""

    reason: str
    retry_after_ms: int


class IngressAllowance:
    """Allowance whose refusals have the type that the ingress expects."""

    def __init__(self, allowance: Allowance) -> None:
        """Wrap the given allowance."""
        self._allowance = allowance

    async def acquire(
        self, limit_name: str, timeout_seconds: float
    ) -> Result[None, LimitReached]:
        """Take one token of a rate limit, or return why there is none."""
        acquired = await self._allowance.acquire(limit_name, timeout_seconds)
        return acquired.map_err(_convert_refusal)


def _convert_refusal(refusal: AllowanceRefusal) -> LimitReached:
    retry_after_ms = int(refusal.retry_after_seconds * _MILLISECONDS_PER_SECOND)
    return LimitReached(refusal.reason, retry_after_ms)
