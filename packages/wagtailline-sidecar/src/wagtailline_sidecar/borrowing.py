"""Borrows tokens from the issuers of accounts, and lends at this daemon."""

import asyncio
import itertools
from collections.abc import Callable
from typing import NamedTuple

from wagtailline.codec import Message
from wagtailline_sidecar.datagrams import (
    DatagramEndpoint,
    LoanReply,
    LoanRequest,
)
from wagtailline_sidecar.model import ClientAccount
from wagtailline_sidecar.quotas import Loan, TokenIssuer

# A lost datagram is sent again once, then the request does without. A VM
# with a quota of its core may stand still for most of a tenth of a second.
REPLY_TIMEOUT_SECONDS = 0.08
_TRIES = 2
# An issuer that did not answer is not asked again for this time.
SILENCE_SECONDS = 0.5


class HomeSilent(NamedTuple):
    """Event: the issuer of an account does not answer.

    Until it does, this daemon admits its own part of the account only.
    """

    home: str
    account: str


class Borrowing:
    """Sends loan requests to issuers and answers those to this daemon."""

    def __init__(
        self,
        datagrams: DatagramEndpoint,
        token_issuer: TokenIssuer,
        observe: Callable[[NamedTuple], None],
    ) -> None:
        """Receive requests and replies through the datagram endpoint."""
        self._observe = observe
        self._datagrams = datagrams
        self._token_issuer = token_issuer
        self._numbers = itertools.count(1)
        self._pending: dict[int, asyncio.Future[Loan]] = {}
        self._silent_until: dict[str, float] = {}
        datagrams.subscribe(self._receive)

    async def borrow(
        self, host: str, account: ClientAccount, tokens: int
    ) -> Loan | None:
        """Ask an issuer for tokens; None when it does not answer."""
        if host == self._datagrams.host:
            return self._token_issuer.lend(account.name, tokens)
        loop = asyncio.get_running_loop()
        if loop.time() < self._silent_until.get(host, 0):
            return None
        number = next(self._numbers)
        request = LoanRequest(
            self._datagrams.host, number, account.name, tokens
        )
        for _ in range(_TRIES):
            self._pending[number] = loop.create_future()
            self._datagrams.send(request, (host,))
            try:
                async with asyncio.timeout(REPLY_TIMEOUT_SECONDS):
                    return await self._pending[number]
            except TimeoutError:
                # A second copy of the request may be lent twice; the first
                # loan is lost then and only lowers what the account gets.
                continue
            finally:
                self._pending.pop(number, None)
        self._observe(HomeSilent(host, account.name))
        self._silent_until[host] = loop.time() + SILENCE_SECONDS
        return None

    def _receive(self, message: Message) -> None:
        match message:
            case LoanRequest(host, number, account, tokens):
                loan = self._token_issuer.lend(account, tokens)
                self._datagrams.send(LoanReply(number, *loan), (host,))
            case LoanReply(number, tokens, wait_seconds):
                pending = self._pending.get(number)
                if pending is not None and not pending.done():
                    pending.set_result(Loan(tokens, wait_seconds))
