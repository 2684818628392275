"""Exchange of token requests and replies with the token issuers."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from wagtailline.codec import Message
from wagtailline_sidecar.datagram_replies import DatagramReplies
from wagtailline_sidecar.datagrams import (
    DatagramEndpoint,
    TokenReply,
    TokenRequest,
)
from wagtailline_sidecar.model import ClientAccount
from wagtailline_sidecar.quotas import TokenGrant, TokenIssuer

# A VM with a CPU quota may be throttled for most of 100 ms before it replies.
REPLY_TIMEOUT_SECONDS = 0.08


class HomeSilent(NamedTuple):
    """Event: the token issuer of an account does not reply.

    Until it does, this daemon admits requests within its own share only.
    ``home`` is the host of the issuer.
    """

    home: str
    account: str


class TokenRequester:
    """Requests tokens from issuers and serves the requests of daemons."""

    def __init__(
        self,
        datagrams: DatagramEndpoint,
        token_issuer: TokenIssuer,
        observe: Callable[[NamedTuple], None],
    ) -> None:
        """Subscribe to the requests and replies at the datagram endpoint."""
        self._observe = observe
        self._datagrams = datagrams
        self._token_issuer = token_issuer
        self._replies: DatagramReplies[TokenGrant] = DatagramReplies()
        datagrams.subscribe(self._receive)

    async def request_tokens(
        self, host: str, account: ClientAccount, tokens: int, attempts: int = 2
    ) -> TokenGrant | None:
        """Return the tokens that an issuer grants, or None without a reply.

        The issuer is asked up to ``attempts`` times.
        """
        if host == self._datagrams.host:
            return self._token_issuer.grant_tokens(account.name, tokens)
        if self._replies.is_silent(host):
            return None
        sequence_number = self._replies.make_number()
        request = TokenRequest(
            self._datagrams.host, sequence_number, account.name, tokens
        )
        for _ in range(attempts):
            reply = self._replies.expect(sequence_number)
            self._datagrams.send(request, (host,))
            try:
                async with asyncio.timeout(REPLY_TIMEOUT_SECONDS):
                    return await reply
            except TimeoutError:
                # If only the reply was late or lost, the issuer grants tokens
                # for the second copy too. The first grant is then unused, so
                # the account gets less than its limit but never more.
                continue
            finally:
                self._replies.give_up(sequence_number)
        self._observe(HomeSilent(host, account.name))
        self._replies.note_silence(host)
        return None

    def _receive(self, message: Message) -> None:
        match message:
            case TokenRequest(host, sequence_number, account, tokens):
                grant = self._token_issuer.grant_tokens(account, tokens)
                self._datagrams.send(
                    TokenReply(sequence_number, *grant), (host,)
                )
            case TokenReply(sequence_number, tokens, wait_seconds):
                grant = TokenGrant(tokens, wait_seconds)
                self._replies.settle(sequence_number, grant)
