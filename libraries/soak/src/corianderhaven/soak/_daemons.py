"""Daemons as processes of their own, with links to the store and from callers."""

import asyncio
import os
import signal
from dataclasses import dataclass
from pathlib import Path

from corianderhaven.common import MS_PER_S
from corianderhaven.standins import HostedDaemonProcess

from ._link import Link

KB_PER_MB = 1024.0
RESTART_S = 0.4  # as a platform starts a process again that has ended
GRACE_S = 4  # twenty times the time that a stream of the stand-in takes
STOP_SLACK_S = 3.0  # beyond the grace time: for the exit itself, on a busy machine


@dataclass(frozen=True)
class Usage:
    """What one process holds.

    Parameters
    ----------
    start : int
        Which start of the daemon it is.
    """

    start: int
    memory_mb: float
    descriptors: int
    threads: int


class SoakDaemon:
    """One daemon that is started again whenever it ends.

    Parameters
    ----------
    name, zone : str
    store : str
        Address of the store itself.
    folder : str
        For its node file and log.
    """

    def __init__(self, name, zone, store, folder):
        self.name = name
        self.zone = zone
        self.store_link = Link(store)
        self.caller_link = Link("127.0.0.1:1")
        self.folder = folder
        self.process = None
        self.first_start = True
        self.disturbed = False
        self.starts = 0

    async def start(self):
        """Start the links and the process."""
        await self.store_link.start()
        await self.caller_link.start()
        self._launch()
        self.caller_link.target = self.process.front

    def close(self):
        """Kill the process and close the links."""
        self.process.kill()
        self.store_link.close()
        self.caller_link.close()

    async def kill(self):
        """End the process without a warning, and start it again."""
        self.process.kill()
        await self.restart()

    async def pause(self, seconds):
        """Let the process stand still."""
        process = self.process.process
        os.kill(process.pid, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        if process.poll() is None:
            os.kill(process.pid, signal.SIGCONT)

    async def drain(self):
        """Stop the process in order and start it again; returns its exit code or None."""
        loop = asyncio.get_running_loop()
        code = await loop.run_in_executor(None, self.process.stop, GRACE_S + STOP_SLACK_S)
        if code == -signal.SIGTERM and not self._listened():
            code = 0  # stopped while it started: it had taken no request that it could cut off
        await self.restart()
        return code

    def _listened(self):
        """Return whether the latest process has come to listen for callers."""
        return b'"event":"daemon_started"' in Path(self.process.log.name).read_bytes()

    async def restart(self):
        """Start the process again after the platform's pause."""
        await asyncio.sleep(RESTART_S)
        if self.process.process.poll() is None:
            return
        self._launch()

    def usage(self):
        """Return the process's `Usage`, or None when it has ended."""
        folder = Path(f"/proc/{self.process.process.pid}")
        try:
            status = dict(
                line.split(":", 1) for line in (folder / "status").read_text().splitlines()
            )
            return Usage(
                self.starts,
                round(int(status["VmRSS"].split()[0]) / KB_PER_MB, 1),
                len(list((folder / "fd").iterdir())),
                int(status["Threads"]),
            )
        except (OSError, KeyError):
            return None

    def log_lines(self, request_id):
        """Return the lines of all starts' logs that name a request."""
        wanted = request_id.encode()
        return [
            line.decode(errors="replace")
            for path in sorted(Path(self.folder).glob(f"{self.name}*.log"))
            for line in path.read_bytes().splitlines()
            if wanted in line
        ]

    def _launch(self):
        self.starts += 1
        self.process = HostedDaemonProcess(
            self.name,
            self.zone,
            self.store_link.address,
            self.folder,
            first_start=self.first_start,
            grace_s=GRACE_S,
            previous=self.process,
            log_name=f"{self.name}-{self.starts}",
        )
        self.first_start = False


def now_ms():
    """Return the running loop's time in ms."""
    return asyncio.get_running_loop().time() * MS_PER_S
