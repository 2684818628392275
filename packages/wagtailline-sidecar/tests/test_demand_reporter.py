"""Reports of demand between the daemons."""

import pytest
from _fixtures import FakeClock, make_account

from wagtailline_sidecar.demand import Demand
from wagtailline_sidecar.demand_reporter import DemandReporter
from wagtailline_sidecar.quotas import Members, Quotas, Tolerance

OWN = '10.0.0.1'


class RecordedDatagrams:
    """Datagrams that are kept instead of sent."""

    host = OWN

    def __init__(self) -> None:
        self.sent = []

    def subscribe(self, receiver) -> None:
        """Receive nothing."""

    def send(self, message, hosts) -> None:
        self.sent.append(message)


class World:
    """A reporter among so many daemons, with one account."""

    def __init__(self, daemons: int, burst: float) -> None:
        self.clock = FakeClock()
        self.datagrams = RecordedDatagrams()
        self.demand = Demand(OWN, self.clock)
        members = Members(self.clock)
        members.note({f'10.0.0.{number}' for number in range(1, daemons + 1)})
        quotas = Quotas(self.clock, Tolerance, self.demand, members, None)
        account = make_account(rate=10, burst=burst)
        quotas.keep({account.name: account})
        self.reporter = DemandReporter(
            self.demand,
            self.datagrams,
            lambda: members.hosts,
            1,
            quotas.is_shared,
        )

    def report(self) -> None:
        for _ in range(10):
            self.demand.count('studio')
        self.clock.now += 1
        self.reporter._report()


@pytest.mark.looptime
async def test_demand_of_shared_accounts_is_reported():
    """Guards against shares that do not follow the demand."""
    world = World(daemons=12, burst=100)
    world.report()
    assert list(world.datagrams.sent[0].demands) == ['studio']


@pytest.mark.looptime
async def test_accounts_without_shares_cost_no_reports():
    """Guards against datagrams of every daemon to every other for nothing.

    The limit of a small account lies wholly at its issuer, whose loans do not
    depend on reports.
    """
    world = World(daemons=85, burst=100)
    world.report()
    assert not world.datagrams.sent
