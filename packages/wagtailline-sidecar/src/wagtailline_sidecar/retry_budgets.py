"""Retry budgets of all services at one daemon."""

from collections.abc import Callable
from typing import NamedTuple

from wagtailline.routing import RetryBudget
from wagtailline_sidecar.nested_calls import CallRatios
from wagtailline_sidecar.retry_shares import RetryShares

GRANTED = 'granted'
DENIED = 'denied'


class RetryDecided(NamedTuple):
    """Event: a retry was granted or denied by a budget.

    ``cause`` is the outcome of the attempt before and ``budget`` the service
    whose budget decided: its own or one that its runs call. ``spent`` and
    ``allowed`` are the retries of this daemon in the last window before the
    decision, and ``daemons`` how many share the constant part of that.
    """

    request: str
    service: str
    cause: str
    decision: str
    budget: str
    spent: float
    allowed: float
    daemons: int


class RetryBudgets:
    """Budgets that are created with the first request for each service."""

    def __init__(
        self,
        make_budget: Callable[[], RetryBudget],
        shares: RetryShares,
        call_ratios: CallRatios,
        observe: Callable[[NamedTuple], None],
    ) -> None:
        """Set up no budgets; ``make_budget`` creates the one of a service.

        ``shares`` sets the constant part of each, and ``call_ratios`` tells
        what a retry costs the services that are called.
        """
        self._call_ratios = call_ratios
        self._shares = shares
        self._make_budget = make_budget
        self._observe = observe
        self._budgets: dict[str, RetryBudget] = {}

    def record_request(self, service: str) -> None:
        """Count a client's request for a service; its budget grows by that."""
        self._find_budget(service).record_call()

    def record_calls_per_run(self, service: str, report: bytes) -> None:
        """Record the calls that each run at a service makes."""
        self._call_ratios.record(service, report)

    def try_acquire(
        self,
        service: str,
        request_id: str,
        cause: str,
        *,
        is_nested: bool = False,
    ) -> bool:
        """Consume one retry; return False if a budget is exhausted.

        The calls that another run would make are consumed from the budgets of
        the services called, unless the request is such a call itself.
        """
        slack = self._shares.find_slack()
        costs = {} if is_nested else dict(self._call_ratios.find(service))
        costs[service] = costs.get(service, 0) + 1
        exhausted = ''
        for called, cost in costs.items():
            budget = self._find_budget(called)
            budget.min_retries = slack
            if not budget.has_room(cost):
                exhausted = called
        decision = DENIED if exhausted else GRANTED
        spent, allowed = self._find_budget(exhausted or service).use()
        if not exhausted:
            for called, cost in costs.items():
                self._find_budget(called).spend(cost)
        self._observe(
            RetryDecided(
                request_id,
                service,
                cause,
                decision,
                exhausted or service,
                spent,
                allowed,
                self._shares.daemons,
            )
        )
        return not exhausted

    def _find_budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._make_budget()
            self._budgets[service] = budget
        return budget
