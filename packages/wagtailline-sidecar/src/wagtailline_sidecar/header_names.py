"""Names of the headers that the daemon reads and sets."""

from typing import NamedTuple


class HeaderNames(NamedTuple):
    """Lower-case names; a platform may have its own.

    ``seal`` marks answers that an upstream made, ``not_run`` those that say
    that it did not run the request. ``warm_up_ms`` is on health answers.
    """

    request_id: bytes = b'wagtailline-request-id'
    deadline_ms: bytes = b'wagtailline-timeout-ms'
    client_account: bytes = b'wagtailline-client-account'
    caller_service: bytes = b'wagtailline-caller-service'
    expected_instance: bytes = b'wagtailline-expected-instance'
    instance: bytes = b'wagtailline-instance'
    seal: bytes = b'wagtailline-seal'
    not_run: bytes = b'wagtailline-not-run'
    warm_up_ms: bytes = b'wagtailline-warm-up-ms'
    authorization: bytes = b'authorization'
    retry_after: bytes = b'retry-after'
