"""Settings of the allowance protocol and the identity of a process."""

from typing import NamedTuple


class AllowanceSettings(NamedTuple):
    """Constants that must be equal in all daemons; times in seconds.

    ``clock_margin`` is the largest relative difference between the rates of
    two clocks that the protocol tolerates. A borrower prefetches tokens for
    the demand of ``prefetch_seconds``. After a restart of many daemons at
    once, nothing is admitted for the lease time plus the grant time, so both
    are short; a shorter lease would require more renewals.
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
    def issuer_grant_seconds(self) -> float:
        """Return how long an issuer treats a grant as outstanding.

        This is longer than the borrower may spend it, by the clock margin.
        """
        return self.grant_seconds * (1 + self.clock_margin)

    @property
    def witness_lease_seconds(self) -> float:
        """Return how long a witness treats a lease as held.

        This is longer than the issuer may use it, by the clock margin.
        """
        return self.lease_seconds * (1 + self.clock_margin)


class Identity(NamedTuple):
    """Identity of a process and the endpoint that it occupies."""

    endpoint: str
    data_centre: str
    vm: str
    incarnation: int

    @property
    def order(self) -> tuple[int, str]:
        """Return the sort key of processes at one endpoint, newest last."""
        return self.incarnation, self.vm

    @property
    def key(self) -> str:
        """Return a name that no other process has or will have."""
        return f'{self.endpoint}/{self.vm}/{self.incarnation}'


DEFAULT_SETTINGS = AllowanceSettings()
