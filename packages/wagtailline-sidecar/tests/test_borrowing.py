"""Loans between daemons, over loopback datagrams."""

from _fixtures import FakeClock, make_account

from wagtailline.ports import Address
from wagtailline_sidecar.borrowing import Borrowing, HomeSilent
from wagtailline_sidecar.notices import Notices
from wagtailline_sidecar.quotas import Homes, Loan, Members, Tolerance

ACCOUNT = make_account('one', rate=10, burst=10)
LENDING_PORT = 47_311
SILENT_PORT = 47_312


class Node:
    def __init__(self, host: str, port: int) -> None:
        self.clock = FakeClock()
        self.events: list = []
        members = Members(self.clock)
        members.note({host})
        self.homes = Homes(host, self.clock, Tolerance, members)
        self.homes.keep({'one': ACCOUNT})
        self.notices = Notices(Address(host, port), self.events.append)
        self.borrowing = Borrowing(self.notices, self.homes, self.events.append)


async def test_home_lends_what_it_has():
    """Guards against a home that lends more than the account's rate."""
    home, borrower = (
        Node(host, LENDING_PORT) for host in ('127.0.0.1', '127.0.0.2')
    )
    await home.notices.start()
    await borrower.notices.start()
    home.clock.now += 0.5
    loan = await borrower.borrowing.borrow('127.0.0.1', ACCOUNT, 3)
    assert loan == Loan(3, 0)
    loan = await borrower.borrowing.borrow('127.0.0.1', ACCOUNT, 100)
    assert loan.tokens <= 2
    await home.notices.stop()
    await borrower.notices.stop()


async def test_silent_home_is_reported_and_left_alone():
    """Guards against requests that wait again and again for a dead home."""
    borrower = Node('127.0.0.2', SILENT_PORT)
    await borrower.notices.start()
    assert await borrower.borrowing.borrow('127.0.0.9', ACCOUNT, 1) is None
    assert HomeSilent('127.0.0.9', 'one') in borrower.events
    events = len(borrower.events)
    assert await borrower.borrowing.borrow('127.0.0.9', ACCOUNT, 1) is None
    assert len(borrower.events) == events
    await borrower.notices.stop()
