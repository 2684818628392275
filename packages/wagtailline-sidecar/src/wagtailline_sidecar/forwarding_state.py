"""State of one request while it is forwarded."""

from typing import NamedTuple

from wagtailline.calls import Body, Headers, Refusal, WholeBody
from wagtailline_sidecar.admission import Admitted
from wagtailline_sidecar.retry_guard import digest_request

# Refusals for these reasons do not indicate an unreachable endpoint.
BUSY_REASONS = frozenset(
    (
        'wait_too_long',
        'queue_full',
        'deadline',
        'rate_limited',
        'request_memory',
    )
)
# Refusals for these reasons come from the upstream, not from its gate.
UPSTREAM_REASONS = frozenset(('upstream_shed', 'wrong_instance'))
# Refusals for these reasons say that the upstream ended before its answer.
CRASH_REASONS = frozenset(('upstream_reset', 'answer_truncated'))


class Attempt(NamedTuple):
    """Log entry of one attempt at an endpoint."""

    endpoint: str
    outcome: str
    took_ms: int


class OutgoingRequest(NamedTuple):
    """Request as it is sent; a streamed body can't be sent twice."""

    method: str
    target: str
    headers: Headers
    body: Body

    @property
    def is_repeatable(self) -> bool:
        """Return whether the body is buffered and can be sent again."""
        return isinstance(self.body, WholeBody)

    def digest(self, service: str) -> bytes:
        """Return a digest that equal requests to a service share."""
        content = self.body.content if isinstance(self.body, WholeBody) else b''
        return digest_request(service, self.method, self.target, content)


class ForwardingState:
    """State of one request while it is forwarded.

    ``upstream_attempts`` counts the attempts that reached an upstream or may
    have, ``gate_refusals`` those that did not. ``may_have_run`` is set once an
    upstream may have run the request.
    """

    def __init__(self, admitted: Admitted, service: str) -> None:
        """Create the state of a request without attempts."""
        self.admitted = admitted
        self.service = service
        self.attempts: list[Attempt] = []
        self.tried: set[str] = set()
        self.upstream_attempts = 0
        self.gate_refusals = 0
        self.is_sent = False
        self.is_ended = False
        self.may_have_run = False
        self.last_refusal = Refusal('no_endpoint', 'no')
        self._shortest_wait_ms = 0

    def add_refusal(self, refusal: Refusal) -> Refusal:
        """Note a refusal and return the one that the caller should get.

        It names the shortest time after which an endpoint that was tried has
        room again.
        """
        if refusal.reason in BUSY_REASONS:
            waits_ms = (self._shortest_wait_ms, refusal.retry_after_ms)
            known_ms = [wait_ms for wait_ms in waits_ms if wait_ms]
            self._shortest_wait_ms = min(known_ms, default=0)
            refusal = refusal._replace(retry_after_ms=self._shortest_wait_ms)
        self.last_refusal = refusal
        return refusal

    def conclude(self, refusal: Refusal) -> Refusal:
        """Return the refusal that is true of all attempts together."""
        if self.may_have_run:
            return refusal._replace(executed='unknown')
        return refusal
