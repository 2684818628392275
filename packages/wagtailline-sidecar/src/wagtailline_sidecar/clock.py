"""Clock that includes the time during which the VM was suspended."""

import asyncio
import time


class BootClock:
    """Monotonic time, and time since boot including suspension, in seconds.

    The age of snapshots is measured by the time since boot: the monotonic
    clock stops while the VM is suspended, and the wall clock can jump.
    """

    def monotonic(self) -> float:
        """Return the time of the running event loop."""
        return asyncio.get_running_loop().time()

    def boot(self) -> float:
        """Return the time since boot, including suspended time."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
