"""Runs a payment at most once for each idempotency key.

Run it with ``python examples/executions.py``.
"""

import time
import uuid

from wagtailline.executions import (
    ExecutionRecords,
    Instant,
    Ownership,
    Run,
    StoredAnswer,
)


def now() -> Instant:
    """Return this moment on both clocks."""
    return Instant(time.monotonic(), time.time())


def make_key(seconds_ahead: float = 0) -> str:
    """Return a UUID of version 7, which carries its time."""
    milliseconds = int((time.time() + seconds_ahead) * 1000)
    tail = uuid.uuid4().hex
    return str(uuid.UUID(f'{milliseconds:012x}7{tail[13:16]}8{tail[17:]}'))


def main() -> None:
    """Send one payment twice, to a gate that has run for a while."""
    ownership = Ownership('ledger-0')
    hour_ago = Instant(time.monotonic() - 3600, time.time() - 3600)
    ownership.update(('ledger-0',), hour_ago)
    records = ExecutionRecords(ownership)
    records.confirm(now())
    key = make_key()
    for attempt in ('first', 'resent'):
        begun = records.begin('studio', key, b'digest of the body', now())
        if isinstance(begun, Run):
            with begun.execution as execution:
                execution.mark_sent()
                execution.complete(StoredAnswer(200, (), b'paid'))
        print(attempt, type(begun).__name__)


if __name__ == '__main__':
    main()
