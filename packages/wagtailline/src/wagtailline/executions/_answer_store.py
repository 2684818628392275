"""Storage of answers within a memory bound."""

from collections import OrderedDict

from wagtailline.executions._account import Record
from wagtailline.executions._types import ExecutionSettings, StoredAnswer

# Approximate memory of an answer in addition to its headers and body.
_OVERHEAD_BYTES = 200


class AnswerStore:
    """Bounds the total size of the answers that records hold.

    At the bound, the oldest answers are reduced to their status first.
    """

    def __init__(self, settings: ExecutionSettings) -> None:
        """Create an empty store."""
        self._settings = settings
        self._sizes: OrderedDict[Record, int] = OrderedDict()
        self._total_bytes = 0

    def store(self, record: Record, answer: StoredAnswer) -> None:
        """Store an answer in its record; only its status if it is too large."""
        size = _measure(answer)
        if size > self._settings.max_answer_bytes:
            # Large headers use as much memory as a large body: discard both.
            record.answer = StoredAnswer(answer.status, (), None)
            return
        record.answer = answer
        self._sizes[record] = size
        self._total_bytes += size
        while self._total_bytes > self._settings.max_total_answer_bytes:
            self.reduce_to_status(next(iter(self._sizes)))

    def reduce_to_status(self, record: Record) -> None:
        """Discard the headers and body of a stored answer, if any."""
        size = self._sizes.pop(record, 0)
        if record.answer is not None and size:
            self._total_bytes -= size
            record.answer = StoredAnswer(record.answer.status, (), None)


def _measure(answer: StoredAnswer) -> int:
    header_bytes = sum(len(name) + len(field) for name, field in answer.headers)
    return header_bytes + len(answer.body or b'') + _OVERHEAD_BYTES
