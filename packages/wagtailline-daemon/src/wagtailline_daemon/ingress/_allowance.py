"""The allowance as the ingress asks for it."""

from typing import NamedTuple

from result import Result

from wagtailline.allowance import Allowance, AllowanceRefusal

_MILLISECONDS = 1000


class LimitReached(NamedTuple):
    """A limit gives nothing now."""

    reason: str
    retry_after_ms: int


class IngressAllowance:
    """Translates refusals of the allowance for the ingress."""

    def __init__(self, allowance: Allowance) -> None:
        """Ask the given allowance."""
        self._allowance = allowance

    async def acquire(
        self, limit_name: str, timeout_seconds: float
    ) -> Result[None, LimitReached]:
        """Take one request from a limit."""
        acquired = await self._allowance.acquire(limit_name, timeout_seconds)
        return acquired.map_err(_translate)


def _translate(refusal: AllowanceRefusal) -> LimitReached:
    wait_ms = int(refusal.retry_after_seconds * _MILLISECONDS)
    return LimitReached(refusal.reason, wait_ms)
