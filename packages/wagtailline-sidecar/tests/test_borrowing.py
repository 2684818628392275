"""Loans between daemons, over loopback datagrams."""

from _fixtures import FakeClock, make_account

from wagtailline.ports import Address
from wagtailline_sidecar.borrowing import Borrowing, HomeSilent
from wagtailline_sidecar.datagrams import DatagramEndpoint
from wagtailline_sidecar.quotas import Loan, Members, TokenIssuer, Tolerance

ACCOUNT = make_account('one', rate=10, burst=10)
LENDING_PORT = 47_311
SILENT_PORT = 47_312


class Node:
    def __init__(self, host: str, port: int) -> None:
        self.clock = FakeClock()
        self.events: list = []
        members = Members(self.clock)
        members.note({host})
        self.token_issuer = TokenIssuer(host, self.clock, Tolerance, members)
        self.token_issuer.keep({'one': ACCOUNT})
        self.datagrams = DatagramEndpoint(
            Address(host, port), self.events.append
        )
        self.borrowing = Borrowing(
            self.datagrams, self.token_issuer, self.events.append
        )


async def test_issuer_lends_what_it_has():
    """Guards against an issuer that lends more than the account's rate."""
    issuer, borrower = (
        Node(host, LENDING_PORT) for host in ('127.0.0.1', '127.0.0.2')
    )
    await issuer.datagrams.start()
    await borrower.datagrams.start()
    issuer.clock.now += 0.5
    loan = await borrower.borrowing.borrow('127.0.0.1', ACCOUNT, 3)
    assert loan == Loan(3, 0)
    loan = await borrower.borrowing.borrow('127.0.0.1', ACCOUNT, 100)
    assert loan.tokens <= 2
    await issuer.datagrams.stop()
    await borrower.datagrams.stop()


async def test_silent_issuer_is_reported_and_left_alone():
    """Guards against requests that wait again and again for a dead issuer."""
    borrower = Node('127.0.0.2', SILENT_PORT)
    await borrower.datagrams.start()
    assert await borrower.borrowing.borrow('127.0.0.9', ACCOUNT, 1) is None
    assert HomeSilent('127.0.0.9', 'one') in borrower.events
    events = len(borrower.events)
    assert await borrower.borrowing.borrow('127.0.0.9', ACCOUNT, 1) is None
    assert len(borrower.events) == events
    await borrower.datagrams.stop()
