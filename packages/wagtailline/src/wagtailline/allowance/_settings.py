"""Durations and sizes of the allowance protocol."""

from typing import NamedTuple


class AllowanceSettings(NamedTuple):
    """Constants that must be equal in all daemons; times in seconds.

    ``clock_margin`` is the largest difference between the rates of two
    clocks that the protocol tolerates. ``prefetch_seconds`` is the demand
    that a borrower keeps in stock ahead of its callers. After a mass restart
    nothing is admitted for the lease and the grant time together, so that
    both are short; a shorter lease would need more renewals.
    """

    grant_seconds: float = 1
    lease_seconds: float = 1
    renew_seconds: float = 0.3
    clock_margin: float = 0.05
    max_issuers: int = 8
    tokens_per_issuer: int = 4
    tokens_per_data_centre: int = 4
    prefetch_seconds: float = 0.1
    report_seconds: float = 0.1
    idle_seconds: float = 0.5
    request_seconds: float = 0.5
    hedge_seconds: float = 0.02
    suspect_seconds: float = 1

    @property
    def held_grant_seconds(self) -> float:
        """Return how long an issuer counts a grant that it has sent."""
        return self.grant_seconds * (1 + self.clock_margin)

    @property
    def held_lease_seconds(self) -> float:
        """Return how long a witness counts a lease that it has given."""
        return self.lease_seconds * (1 + self.clock_margin)


class Identity(NamedTuple):
    """The process that occupies an endpoint."""

    endpoint: str
    data_centre: str
    vm: str
    incarnation: int

    @property
    def order(self) -> tuple[int, str]:
        """Return what decides between two holders of one endpoint."""
        return self.incarnation, self.vm

    @property
    def key(self) -> str:
        """Return a name that no other process has ever had."""
        return f'{self.endpoint}/{self.vm}/{self.incarnation}'


DEFAULT_SETTINGS = AllowanceSettings()
