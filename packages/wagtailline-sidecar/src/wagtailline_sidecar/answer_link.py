"""Use of the VM's outgoing link by the answers of the local upstream."""

from contextlib import AbstractContextManager, nullcontext

from wagtailline.calls import CallRequest
from wagtailline.uplink import Uplink
from wagtailline_sidecar.moving_averages import MovingAverages

# Weight of a new observation in the moving average of sizes.
_SMOOTHING_FACTOR = 0.15
# Smaller answers are sent without waiting for their turn.
_MIN_BODY_BYTES = 16 * 1024


class AnswerLink:
    """Expected time until the link has sent the answer to a call.

    Answers to calls of this VM don't cross the link.
    """

    def __init__(self, uplink: Uplink, vm: str) -> None:
        """Set up without observations for the link of a VM."""
        self._uplink = uplink
        self._vm = vm
        self._sizes = MovingAverages(_SMOOTHING_FACTOR)

    @property
    def backlog_seconds(self) -> float:
        """Return the time that the link needs for all expected answers."""
        return self._uplink.backlog_seconds

    def reserve(self, request: CallRequest) -> AbstractContextManager[object]:
        """Count the expected answer to a call until the context ends."""
        if not self._is_large(request):
            return nullcontext()
        return self._uplink.open_transfer(int(self._expected_bytes(request)))

    def expected_seconds(self, request: CallRequest) -> float:
        """Return when the link would have sent a large answer, in seconds.

        It is 0 for small answers.
        """
        return self.backlog_seconds if self._is_large(request) else 0

    def record_size(self, request: CallRequest, size_bytes: int) -> None:
        """Record the size of the body of an answer."""
        self._sizes.observe(request.route, size_bytes)

    def _is_large(self, request: CallRequest) -> bool:
        is_remote = request.sender != self._vm
        return is_remote and self._expected_bytes(request) > _MIN_BODY_BYTES

    def _expected_bytes(self, request: CallRequest) -> float:
        return self._sizes.find(request.route, 0)
