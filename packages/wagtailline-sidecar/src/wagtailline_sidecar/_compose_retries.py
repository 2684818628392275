"""Creates what decides about retries."""

from wagtailline.routing import RetryBudget
from wagtailline_sidecar._compose_core import CoreServices
from wagtailline_sidecar.crash_keepers import CrashKeepers
from wagtailline_sidecar.datagrams import DatagramEndpoint
from wagtailline_sidecar.members import Members
from wagtailline_sidecar.nested_calls import CallRatios, NestedCalls
from wagtailline_sidecar.retry_budgets import RetryBudgets
from wagtailline_sidecar.retry_guard import RetryGuard
from wagtailline_sidecar.retry_policy import RetryPolicy
from wagtailline_sidecar.retry_shares import RetryLimits, RetryShares

# Fraction of the retry budget of all daemons that they use: requests shift
# between windows, and the calls of a retried run are an estimate.
RETRY_BUDGET_FRACTION = 0.5


def build_retry_policy(
    core: CoreServices,
    datagrams: DatagramEndpoint,
    members: Members,
    nested_calls: NestedCalls,
) -> RetryPolicy:
    """Create the policy for the retries of all requests."""
    settings, observe = core.settings, core.telemetry.observe
    limits = RetryLimits(
        settings.retry_ratio * RETRY_BUDGET_FRACTION,
        settings.retry_slack * RETRY_BUDGET_FRACTION,
        settings.retry_window_seconds,
    )
    shares = RetryShares(core.clock, limits, lambda: members.known_count)
    core.snapshots.subscribe(lambda snapshot: shares.follow_daemons())
    budgets = RetryBudgets(
        lambda: RetryBudget(core.clock, limits.ratio, 0, limits.window_seconds),
        shares,
        CallRatios(),
        observe,
    )
    keepers = CrashKeepers(datagrams, members, core.clock)
    return RetryPolicy(
        core.clock,
        budgets,
        RetryGuard(keepers, core.clock, observe),
        nested_calls,
    )
