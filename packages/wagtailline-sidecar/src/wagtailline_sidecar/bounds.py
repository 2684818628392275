"""Limits of the daemon, derived from the bounds in its settings."""

from wagtailline_sidecar.quotas import QuotaTolerance
from wagtailline_sidecar.refresh_periods import RefreshPeriods, plan_refreshes
from wagtailline_sidecar.settings import SidecarSettings
from wagtailline_sidecar.warm_up import WarmUpTolerance

_MILLISECONDS_PER_SECOND = 1000
# Part of the grace period that a stop takes. The rest is for writing the last
# responses.
_STOP_FRACTION = 0.9
# Idle client connections stay open for this time, because the platform probes
# readiness once a second and redirects clients after two probes without a 200.
_TRAFFIC_SHIFT_SECONDS = 2.5
_TRAFFIC_SHIFT_FRACTION = 0.5
# Part of the time to revoke a key for which a snapshot proves it valid. The
# rest is for requests that were admitted just before.
_KEY_PROOF_FRACTION = 0.9


def find_stop_seconds(settings: SidecarSettings) -> float:
    """Return the timeout of a graceful stop."""
    return settings.grace_seconds * _STOP_FRACTION


def find_traffic_shift_seconds(settings: SidecarSettings) -> float:
    """Return how long a stopping daemon waits for clients to move away."""
    longest_seconds = find_stop_seconds(settings) * _TRAFFIC_SHIFT_FRACTION
    return min(_TRAFFIC_SHIFT_SECONDS, longest_seconds)


def find_key_proof_seconds(settings: SidecarSettings) -> float:
    """Return how long a confirmed snapshot proves that keys are valid."""
    revoke_seconds = settings.revoke_ms / _MILLISECONDS_PER_SECOND
    return revoke_seconds * _KEY_PROOF_FRACTION


def find_denial_seconds(settings: SidecarSettings) -> float:
    """Return how old a snapshot may be whose routes and keys are complete.

    An older one may lack additions that have to be in force.
    """
    return settings.apply_ms / _MILLISECONDS_PER_SECOND


def find_refresh_periods(settings: SidecarSettings) -> RefreshPeriods:
    """Return the periods in which changes are in force in time."""
    strictest_ms = min(settings.apply_ms, settings.drain_ms, settings.revoke_ms)
    return plan_refreshes(strictest_ms / _MILLISECONDS_PER_SECOND)


def find_quota_tolerance(settings: SidecarSettings) -> QuotaTolerance:
    """Return how far client accounts may exceed their limits."""
    return QuotaTolerance(
        settings.quota_window_seconds,
        settings.quota_overage,
        settings.quota_slack,
    )


def find_warm_up_tolerance(settings: SidecarSettings) -> WarmUpTolerance:
    """Return how many requests a cold upstream may get in any second."""
    return WarmUpTolerance(settings.warm_up_overage, settings.warm_up_slack)
