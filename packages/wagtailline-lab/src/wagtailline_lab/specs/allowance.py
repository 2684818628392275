"""Specification of the allowance protocol (design page, section 3.5).

An allowance is a rate limit that several processes share. One issuer has a
token bucket with a capacity of ``BURST`` that gains one token per tick. It
gives tokens to borrowers as grants that expire. Requests, replies, reports
and returns may arrive at any later time, any number of times or never. A
borrower is paused while ticks pass without one of its steps.

In every window of T ticks at most burst + rate x T calls may be admitted. One
counter checks this: it starts at the burst, gains the rate up to the burst
and loses one for each admitted call. It is below zero exactly when some
window holds too many calls.
"""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from wagtailline_lab.specs._checker import Invariant, Step

BURST = 2
LIFETIME_TICKS = 2
MARGIN_TICKS = 1
NONE = -1


class Request(NamedTuple):
    """Request of a borrower for tokens.

    ``remaining`` is the rest of the lifetime in ticks by the borrower's clock.
    ``clock_lagged`` is set once that clock has missed the one tick that the
    margin allows for. ``grant_index`` is the grant that the borrower accepted.
    """

    sent: bool = False
    remaining: int = 0
    clock_lagged: bool = False
    grant_index: int = NONE


class Grant(NamedTuple):
    """Tokens that the issuer gave for a request.

    The issuer counts ``outstanding`` tokens and the ticks until ``expiry``.
    The borrower counts ``unspent`` and ``spent`` tokens. ``returned`` tokens
    were sent back to the issuer.
    """

    request: int = NONE
    tokens: int = 0
    outstanding: int = 0
    expiry: int = 0
    unspent: int = 0
    spent: int = 0
    returned: int = 0


class State(NamedTuple):
    """State of the issuer, the bound on admissions, requests and grants.

    ``level`` is the number of tokens in the issuer's bucket, ``allowed`` the
    counter of the bound on admitted calls. The issuer gains no tokens for
    ``waiting`` ticks and may restart ``restarts`` more times.
    """

    level: int
    allowed: int
    waiting: int
    restarts: int
    requests: tuple[Request, ...]
    grants: tuple[Grant, ...]


class AllowanceRules(NamedTuple):
    """Rules of the protocol; switching one off injects a fault.

    ``count_outstanding``: the issuer stops generating tokens once its bucket
    and the outstanding tokens reach the burst.
    ``wait_after_restart``: a restarted issuer generates no tokens until the
    longest grant has expired.
    ``lifetime_from_request``: the lifetime of a grant starts before its
    request is sent, not when the grant arrives.
    ``check_on_use``: the borrower compares the time with the expiry at each
    admission, instead of relying on a timer.
    ``cumulative_reports``: a report states the total of spent tokens, so that
    a repeated report has no effect.
    ``accept_once``, ``return_once``: a repeated grant or return is ignored.
    ``clock_counts_pauses``: the clock continues while a vm is suspended.
    ``lifetime_margin``: a grant expires later at the issuer than at the
    borrower.
    """

    count_outstanding: bool = True
    wait_after_restart: bool = True
    lifetime_from_request: bool = True
    check_on_use: bool = True
    cumulative_reports: bool = True
    accept_once: bool = True
    return_once: bool = True
    clock_counts_pauses: bool = True
    lifetime_margin: bool = True


class AllowanceSpec:
    """One issuer that may restart once, with a few requests and grants."""

    def __init__(
        self, rules: AllowanceRules, requests: int = 2, grants: int = 2
    ) -> None:
        """Take the rules and the numbers of requests and grants."""
        self._rules = rules
        self._requests = requests
        self._grants = grants
        self._issuer_lifetime = (
            LIFETIME_TICKS + MARGIN_TICKS * rules.lifetime_margin
        )

    def initial(self) -> State:
        """Return the state of an issuer without tokens that need not wait."""
        return State(
            level=0,
            allowed=BURST,
            waiting=0,
            restarts=1,
            requests=(Request(),) * self._requests,
            grants=(Grant(),) * self._grants,
        )

    def steps(self, state: State) -> list[Step]:
        """Return all possible ticks, deliveries, admissions and restarts."""
        next_steps: list[Step] = list(self._ticks(state))
        if state.restarts:
            next_steps.append(('restart issuer', self._restart(state)))
        for index, request in enumerate(state.requests):
            next_steps.extend(self._request_steps(state, index, request))
        for index, grant in enumerate(state.grants):
            if grant.request != NONE:
                next_steps.extend(self._issuer_steps(state, index, grant))
                next_steps.extend(self._borrower_steps(state, index, grant))
        return next_steps

    def invariants(self) -> Mapping[str, Invariant]:
        """Return the bound on admitted calls and on tokens in use."""
        return {
            'admitted calls are within burst + rate x T': _within_bound,
            'tokens in use never exceed what is allowed': _usable_within_bound,
        }

    def _ticks(self, state: State) -> Iterator[Step]:
        grants = tuple(map(_age_grant, state.grants))
        level = state.level
        limit = level
        if self._rules.count_outstanding:
            limit += sum(grant.outstanding for grant in grants)
        if not state.waiting and limit < BURST:
            level += 1
        after = state._replace(
            level=level,
            allowed=min(BURST, state.allowed + 1),
            waiting=max(0, state.waiting - 1),
            grants=grants,
        )
        yield (
            'tick',
            after._replace(requests=tuple(map(_age_request, state.requests))),
        )
        for index, request in enumerate(state.requests):
            may_lag = (
                not request.clock_lagged or not self._rules.clock_counts_pauses
            )
            if request.remaining and may_lag:
                requests = list(map(_age_request, state.requests))
                requests[index] = request._replace(clock_lagged=True)
                lagging = after._replace(requests=tuple(requests))
                yield f'tick that clock {index} misses', lagging

    def _restart(self, state: State) -> State:
        return state._replace(
            level=0,
            waiting=self._issuer_lifetime
            if self._rules.wait_after_restart
            else 0,
            restarts=state.restarts - 1,
            grants=tuple(
                grant._replace(outstanding=0, expiry=0)
                for grant in state.grants
            ),
        )

    def _request_steps(
        self, state: State, index: int, request: Request
    ) -> Iterator[Step]:
        if not request.sent:
            sent_request = Request(sent=True, remaining=LIFETIME_TICKS)
            yield (
                f'request {index}',
                _replace_request(state, index, sent_request),
            )
            return
        free_index = next(
            (
                number
                for number, grant in enumerate(state.grants)
                if grant.request == NONE
            ),
            NONE,
        )
        if free_index != NONE:
            for tokens in range(1, state.level + 1):
                new_grant = Grant(index, tokens, tokens, self._issuer_lifetime)
                debited = state._replace(level=state.level - tokens)
                label = f'grant {free_index} of {tokens} for request {index}'
                yield label, _replace_grant(debited, free_index, new_grant)

    def _issuer_steps(
        self, state: State, index: int, grant: Grant
    ) -> Iterator[Step]:
        if grant.spent and grant.outstanding:
            outstanding = grant.outstanding - 1
            if self._rules.cumulative_reports:
                outstanding = min(grant.outstanding, grant.tokens - grant.spent)
            freed = grant._replace(outstanding=outstanding)
            yield (
                f'report on grant {index}',
                _replace_grant(state, index, freed),
            )
        if grant.returned and self._accepts_return(state, grant):
            closed = grant._replace(outstanding=0)
            credited = state._replace(
                level=min(BURST, state.level + grant.returned)
            )
            yield (
                f'return of grant {index}',
                _replace_grant(credited, index, closed),
            )

    def _accepts_return(self, state: State, grant: Grant) -> bool:
        if self._rules.return_once:
            return grant.outstanding >= grant.returned
        return state.level < BURST

    def _borrower_steps(
        self, state: State, index: int, grant: Grant
    ) -> Iterator[Step]:
        request = state.requests[grant.request]
        if self._accepts_grant(request, index):
            remaining = request.remaining
            if not self._rules.lifetime_from_request:
                remaining = LIFETIME_TICKS
            accepting = request._replace(grant_index=index, remaining=remaining)
            held = grant._replace(unspent=grant.tokens)
            yield (
                f'arrival of grant {index}',
                _replace_request(
                    _replace_grant(state, index, held), grant.request, accepting
                ),
            )
        if grant.unspent and (
            request.remaining or not self._rules.check_on_use
        ):
            used = grant._replace(
                unspent=grant.unspent - 1, spent=grant.spent + 1
            )
            admitted = state._replace(allowed=state.allowed - 1)
            yield (
                f'admission under grant {index}',
                _replace_grant(admitted, index, used),
            )
        if grant.unspent and request.remaining:
            returning = grant._replace(unspent=0, returned=grant.unspent)
            yield (
                f'send back grant {index}',
                _replace_grant(state, index, returning),
            )

    def _accepts_grant(self, request: Request, index: int) -> bool:
        if request.grant_index == index:
            return not self._rules.accept_once and bool(request.remaining)
        if request.grant_index != NONE:
            return False
        return bool(request.remaining) or not self._rules.lifetime_from_request


def _age_grant(grant: Grant) -> Grant:
    expiry = max(0, grant.expiry - 1)
    outstanding = grant.outstanding if expiry else 0
    return grant._replace(expiry=expiry, outstanding=outstanding)


def _age_request(request: Request) -> Request:
    return request._replace(remaining=max(0, request.remaining - 1))


def _replace_request(state: State, index: int, request: Request) -> State:
    requests = list(state.requests)
    requests[index] = request
    return state._replace(requests=tuple(requests))


def _replace_grant(state: State, index: int, grant: Grant) -> State:
    grants = list(state.grants)
    grants[index] = grant
    return state._replace(grants=tuple(grants))


def _within_bound(state: State) -> bool:
    return state.allowed >= 0


def _usable_within_bound(state: State) -> bool:
    usable = sum(
        grant.unspent
        for grant in state.grants
        if grant.request != NONE and state.requests[grant.request].remaining
    )
    return state.level + usable <= max(0, state.allowed)
