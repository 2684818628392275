"""Specification of the allowance protocol (design page, 3.5).

One issuer with a bucket of ``BURST`` tokens that gains one token a tick, and
borrowers that hold time-bounded grants. Requests, replies, reports and
returns may arrive at any later time, any number of times or never. A pause
of a borrower is the absence of its steps while ticks pass.

Whether admitted calls stay within burst + rate x T in every window is
checked with one counter: it starts at the burst, gains the rate up to the
burst and loses one for each admitted call. It is below zero exactly when
some window holds too many calls.
"""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from wagtailline_lab.specs._checker import Invariant, Step

BURST = 2
LIFETIME_TICKS = 2
MARGIN_TICKS = 1
NONE = -1


class Request(NamedTuple):
    """A borrower's request; ``life`` is the lifetime that its clock shows.

    ``lagged`` tells that the borrower's clock has lost the one tick that
    the margin allows for.
    """

    sent: bool = False
    life: int = 0
    lagged: bool = False
    accepted: int = NONE


class Grant(NamedTuple):
    """Tokens for a request.

    ``outstanding`` and ``expiry`` are the issuer's view, ``left`` and
    ``spent`` the borrower's; ``returned`` is on its way back.
    """

    request: int = NONE
    tokens: int = 0
    outstanding: int = 0
    expiry: int = 0
    left: int = 0
    spent: int = 0
    returned: int = 0


class State(NamedTuple):
    """The issuer's bucket, the counter of the bound, requests and grants."""

    level: int
    allowed: int
    waiting: int
    restarts: int
    requests: tuple[Request, ...]
    grants: tuple[Grant, ...]


class AllowanceRules(NamedTuple):
    """Guards of the protocol; each one off is a seeded fault.

    ``count_outstanding`` stops generation at burst less outstanding grants;
    ``wait_out`` holds a restarted issuer back for the longest grant;
    ``life_from_request`` measures a grant from before its request was sent;
    ``check_on_use`` compares the time at each admission, not by a timer;
    ``cumulative_reports`` makes a repeated report harmless;
    ``accept_once`` and ``return_once`` ignore a repeated grant and return;
    ``clock_counts_pauses`` is a clock that runs on while a vm is suspended;
    ``margin`` makes the issuer's lifetime longer than the borrower's.
    """

    count_outstanding: bool = True
    wait_out: bool = True
    life_from_request: bool = True
    check_on_use: bool = True
    cumulative_reports: bool = True
    accept_once: bool = True
    return_once: bool = True
    clock_counts_pauses: bool = True
    margin: bool = True


class AllowanceSpec:
    """An issuer that may restart once, and a few requests and grants."""

    def __init__(
        self, rules: AllowanceRules, requests: int = 2, grants: int = 2
    ) -> None:
        """Check the given guards."""
        self._rules = rules
        self._requests = requests
        self._grants = grants
        self._longest = LIFETIME_TICKS + MARGIN_TICKS * rules.margin

    def initial(self) -> State:
        """Return the state of an issuer that has waited, with no tokens."""
        return State(
            level=0,
            allowed=BURST,
            waiting=0,
            restarts=1,
            requests=(Request(),) * self._requests,
            grants=(Grant(),) * self._grants,
        )

    def steps(self, state: State) -> list[Step]:
        """Return every tick, delivery, admission and restart."""
        found: list[Step] = list(self._ticks(state))
        if state.restarts:
            found.append(('restart issuer', self._restart(state)))
        for index, request in enumerate(state.requests):
            found.extend(self._request_steps(state, index, request))
        for index, grant in enumerate(state.grants):
            if grant.request != NONE:
                found.extend(self._issuer_steps(state, index, grant))
                found.extend(self._borrower_steps(state, index, grant))
        return found

    def invariants(self) -> Mapping[str, Invariant]:
        """Return the bound, and that no token comes from nowhere."""
        return {
            'admitted calls are within burst + rate x T': _within_bound,
            'tokens in use never exceed what is allowed': _conserved,
        }

    def _ticks(self, state: State) -> Iterator[Step]:
        grants = tuple(map(_age, state.grants))
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
        yield 'tick', after._replace(requests=tuple(map(_run, state.requests)))
        for index, request in enumerate(state.requests):
            may_lag = not request.lagged or not self._rules.clock_counts_pauses
            if request.life and may_lag:
                requests = list(map(_run, state.requests))
                requests[index] = request._replace(lagged=True)
                slow = after._replace(requests=tuple(requests))
                yield f'tick that clock {index} misses', slow

    def _restart(self, state: State) -> State:
        return state._replace(
            level=0,
            waiting=self._longest if self._rules.wait_out else 0,
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
            asked = Request(sent=True, life=LIFETIME_TICKS)
            yield f'request {index}', _put_request(state, index, asked)
            return
        slot = next(
            (
                number
                for number, grant in enumerate(state.grants)
                if grant.request == NONE
            ),
            NONE,
        )
        if slot != NONE:
            for tokens in range(1, state.level + 1):
                given = Grant(index, tokens, tokens, self._longest)
                debited = state._replace(level=state.level - tokens)
                label = f'grant {slot} of {tokens} for request {index}'
                yield label, _put_grant(debited, slot, given)

    def _issuer_steps(
        self, state: State, index: int, grant: Grant
    ) -> Iterator[Step]:
        if grant.spent and grant.outstanding:
            outstanding = grant.outstanding - 1
            if self._rules.cumulative_reports:
                outstanding = min(grant.outstanding, grant.tokens - grant.spent)
            freed = grant._replace(outstanding=outstanding)
            yield f'report on grant {index}', _put_grant(state, index, freed)
        if grant.returned and self._takes_back(state, grant):
            closed = grant._replace(outstanding=0)
            credited = state._replace(
                level=min(BURST, state.level + grant.returned)
            )
            yield f'return of {index}', _put_grant(credited, index, closed)

    def _takes_back(self, state: State, grant: Grant) -> bool:
        if self._rules.return_once:
            return grant.outstanding >= grant.returned
        return state.level < BURST

    def _borrower_steps(
        self, state: State, index: int, grant: Grant
    ) -> Iterator[Step]:
        request = state.requests[grant.request]
        if self._accepts(request, index):
            life = request.life
            if not self._rules.life_from_request:
                life = LIFETIME_TICKS
            taken = request._replace(accepted=index, life=life)
            held = grant._replace(left=grant.tokens)
            yield (
                f'arrival of grant {index}',
                _put_request(
                    _put_grant(state, index, held), grant.request, taken
                ),
            )
        if grant.left and (request.life or not self._rules.check_on_use):
            used = grant._replace(left=grant.left - 1, spent=grant.spent + 1)
            admitted = state._replace(allowed=state.allowed - 1)
            yield f'admit by {index}', _put_grant(admitted, index, used)
        if grant.left and request.life:
            back = grant._replace(left=0, returned=grant.left)
            yield f'send back {index}', _put_grant(state, index, back)

    def _accepts(self, request: Request, index: int) -> bool:
        if request.accepted == index:
            return not self._rules.accept_once and bool(request.life)
        if request.accepted != NONE:
            return False
        return bool(request.life) or not self._rules.life_from_request


def _age(grant: Grant) -> Grant:
    expiry = max(0, grant.expiry - 1)
    outstanding = grant.outstanding if expiry else 0
    return grant._replace(expiry=expiry, outstanding=outstanding)


def _run(request: Request) -> Request:
    return request._replace(life=max(0, request.life - 1))


def _put_request(state: State, index: int, request: Request) -> State:
    requests = list(state.requests)
    requests[index] = request
    return state._replace(requests=tuple(requests))


def _put_grant(state: State, index: int, grant: Grant) -> State:
    grants = list(state.grants)
    grants[index] = grant
    return state._replace(grants=tuple(grants))


def _within_bound(state: State) -> bool:
    return state.allowed >= 0


def _conserved(state: State) -> bool:
    usable = sum(
        grant.left
        for grant in state.grants
        if grant.request != NONE and state.requests[grant.request].life
    )
    return state.level + usable <= max(0, state.allowed)
