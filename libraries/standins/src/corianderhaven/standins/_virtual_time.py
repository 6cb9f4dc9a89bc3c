"""Event loop that advances its time to the next timer, for tests that simulate minutes."""

import asyncio
import selectors

from corianderhaven.common import MS_PER_S, Clock


class _VirtualTimeSelector(selectors.SelectSelector):
    """Selector that advances a virtual time instead of blocking."""

    def __init__(self):
        super().__init__()
        self.now_s = 1_000.0

    def select(self, timeout=None):
        """Return ready files, or advance the virtual time by `timeout` if there are none."""
        ready = super().select(0)
        if not ready:
            if timeout is None:
                raise RuntimeError("deadlock: no timer is scheduled and every task is waiting")
            self.now_s += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop in virtual time, for coroutines that communicate only in memory."""

    def __init__(self):
        self.time_selector = _VirtualTimeSelector()
        super().__init__(self.time_selector)

    def time(self):
        """Return the virtual time in s."""
        return self.time_selector.now_s


class VirtualClock(Clock):
    """Clock that reads the time of a `VirtualTimeLoop`.

    Parameters
    ----------
    loop : VirtualTimeLoop
    """

    def __init__(self, loop):
        self.loop = loop

    def now_ms(self):
        """Return the virtual time in ms."""
        return self.loop.time() * MS_PER_S

    def boot_ms(self):
        """Return the virtual time in ms."""
        return self.now_ms()

    def wall_ms(self):
        """Return the virtual time in ms."""
        return int(self.now_ms())


def run_in_virtual_time(make_coroutine):
    """Run ``make_coroutine(clock)`` to completion in virtual time and return its result."""
    loop = VirtualTimeLoop()
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(make_coroutine(VirtualClock(loop)))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        asyncio.set_event_loop(None)
        loop.close()
