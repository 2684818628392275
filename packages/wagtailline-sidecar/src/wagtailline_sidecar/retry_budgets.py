"""Retry budgets of all services at one daemon."""

from collections.abc import Callable
from typing import NamedTuple

from wagtailline.routing import RetryBudget
from wagtailline_sidecar.retry_shares import RetryShares

GRANTED = 'granted'
DENIED = 'denied'


class RetryDecided(NamedTuple):
    """Event: a retry was granted or denied by a budget.

    ``cause`` is the outcome of the attempt before. ``spent`` and ``allowed``
    are the retries of this daemon in the last window before the decision, and
    ``daemons`` how many share the constant part of what is allowed.
    """

    request: str
    service: str
    cause: str
    decision: str
    spent: float
    allowed: float
    daemons: int


class RetryBudgets:
    """Budgets that are created with the first request for each service."""

    def __init__(
        self,
        make_budget: Callable[[], RetryBudget],
        shares: RetryShares,
        observe: Callable[[NamedTuple], None],
    ) -> None:
        """Set up no budgets; ``make_budget`` creates the one of a service.

        ``shares`` sets the constant part of each.
        """
        self._shares = shares
        self._make_budget = make_budget
        self._observe = observe
        self._budgets: dict[str, RetryBudget] = {}

    def record_request(self, service: str) -> None:
        """Count a client's request for a service; its budget grows by that."""
        self._find_budget(service).record_call()

    def try_acquire(self, service: str, request_id: str, cause: str) -> bool:
        """Consume one retry; return False if the budget is exhausted."""
        budget = self._find_budget(service)
        budget.min_retries = self._shares.find_slack()
        spent, allowed = budget.use()
        is_granted = budget.try_acquire()
        decision = GRANTED if is_granted else DENIED
        self._observe(
            RetryDecided(
                request_id,
                service,
                cause,
                decision,
                spent,
                allowed,
                self._shares.daemons,
            )
        )
        return is_granted

    def _find_budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._make_budget()
            self._budgets[service] = budget
        return budget
