"""An event loop whose time jumps to the next timer, for tests that span minutes."""

import asyncio
import selectors

from corianderhaven.common import MS_PER_S, Clock


class _JumpingSelector(selectors.SelectSelector):
    """Never waits: tells the loop how far its time may jump instead."""

    def __init__(self):
        super().__init__()
        self.now_s = 1_000.0

    def select(self, timeout=None):
        """Return ready files, or advance the time by `timeout`."""
        ready = super().select(0)
        if not ready:
            if timeout is None:
                raise RuntimeError("nothing is scheduled: all tasks wait for ever")
            self.now_s += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs coroutines that talk in memory only, as fast as the processor allows."""

    def __init__(self):
        self.jumping = _JumpingSelector()
        super().__init__(self.jumping)

    def time(self):
        """Return the virtual time in s."""
        return self.jumping.now_s


class VirtualClock(Clock):
    """The clock of a `VirtualTimeLoop`.

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
    """Run ``make_coroutine(clock)`` to its end in virtual time and return its result."""
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
