"""Clock that also counts the time of a suspended VM."""

import asyncio
import time


class BootClock:
    """Monotonic time, and time since boot including suspension, in seconds.

    Beliefs about the source are dated by time since boot: the monotonic
    clock stands still while the VM is suspended, and the time of day jumps.
    """

    def monotonic(self) -> float:
        """Return the time of the running loop."""
        return asyncio.get_running_loop().time()

    def boot(self) -> float:
        """Return the time since boot, suspension included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
