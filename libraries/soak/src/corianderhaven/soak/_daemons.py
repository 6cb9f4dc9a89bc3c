"""Daemon processes under test, with proxies on their links to the store and from callers."""

import asyncio
import os
import signal
from dataclasses import dataclass
from pathlib import Path

from corianderhaven.common import MS_PER_S
from corianderhaven.standins import HostedDaemonProcess

from ._link_proxy import LinkProxy

KB_PER_MB = 1024.0
STALL_MS = 4_000  # of the platform: members that pause for less break no replica
RESTART_DELAY_S = 0.4  # emulates a platform that restarts a process after its exit
GRACE_PERIOD_S = 4  # 20 times the duration of a stream of the stand-in
STOP_MARGIN_S = 3.0  # after the grace period, for the exit itself on a busy machine


@dataclass(frozen=True)
class ResourceUsage:
    """Resources that one daemon process holds.

    Parameters
    ----------
    start_number : int
        Number of times the daemon had been started, this process included.
    memory_mb : float
        Resident memory.
    descriptors : int
        Open file descriptors.
    threads : int
    """

    start_number: int
    memory_mb: float
    descriptors: int
    threads: int


class SoakDaemon:
    """One daemon that is restarted after every kill or drain.

    Parameters
    ----------
    name, zone : str
    store : str
        Address of the store, behind the proxy.
    folder : str
        Folder for its node file and logs.
    ip : str
        Loopback address of its own, by which its connections are told apart.
    builds : list of str
        Folders with the packages of the builds that it may run, the first one now; an empty
        string stands for the packages of this process.
    """

    def __init__(self, name, zone, store, folder, ip="127.0.0.1", builds=("",)):
        self.name = name
        self.zone = zone
        self.ip = ip
        self.builds = list(builds)
        self.store_link = LinkProxy(store)
        self.caller_link = LinkProxy("127.0.0.1:1")
        self.folder = folder
        self.process = None
        self.first_start = True
        self.disturbed = False
        self.start_count = 0

    async def start(self):
        """Start the link proxies and the process."""
        await self.store_link.start()
        await self.caller_link.start()
        self._launch()
        self.caller_link.target = self.process.front

    def close(self):
        """Kill the process and close the link proxies."""
        self.process.kill()
        self.store_link.close()
        self.caller_link.close()

    def change_build(self):
        """Run the next build from the next start on."""
        self.builds.append(self.builds.pop(0))

    async def kill(self):
        """Kill the process without a drain, then restart it."""
        self.process.kill()
        await self.restart()

    async def pause(self, seconds):
        """Suspend the process for a time with SIGSTOP."""
        process = self.process.process
        os.kill(process.pid, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        if process.poll() is None:
            os.kill(process.pid, signal.SIGCONT)

    async def drain(self):
        """Stop the process gracefully and restart it; returns its exit code, or None if killed."""
        loop = asyncio.get_running_loop()
        code = await loop.run_in_executor(None, self.process.stop, GRACE_PERIOD_S + STOP_MARGIN_S)
        if code == -signal.SIGTERM and not self._has_listened():
            code = 0  # stopped during startup, so there was no request to cut off
        await self.restart()
        return code

    def _has_listened(self):
        """Return whether the latest process got as far as listening for callers."""
        return b'"event":"daemon_started"' in Path(self.process.log.name).read_bytes()

    async def restart(self):
        """Restart the process after `RESTART_DELAY_S`, unless it is running."""
        await asyncio.sleep(RESTART_DELAY_S)
        if self.process.process.poll() is None:
            return
        self._launch()

    def usage(self):
        """Return the `ResourceUsage` of the process, or None if it has exited."""
        proc_folder = Path(f"/proc/{self.process.process.pid}")
        try:
            status = dict(
                line.split(":", 1) for line in (proc_folder / "status").read_text().splitlines()
            )
            return ResourceUsage(
                self.start_count,
                round(int(status["VmRSS"].split()[0]) / KB_PER_MB, 1),
                len(list((proc_folder / "fd").iterdir())),
                int(status["Threads"]),
            )
        except (OSError, KeyError):
            return None

    def log_lines(self, request_id):
        """Return the log lines, from all processes of this daemon, that contain a request id."""
        needle = request_id.encode()
        return [
            line.decode(errors="replace")
            for path in sorted(Path(self.folder).glob(f"{self.name}*.log"))
            for line in path.read_bytes().splitlines()
            if needle in line
        ]

    def _launch(self):
        self.start_count += 1
        self.process = HostedDaemonProcess(
            self.name,
            self.zone,
            self.store_link.address,
            self.folder,
            first_start=self.first_start,
            grace_s=GRACE_PERIOD_S,
            previous=self.process,
            log_name=f"{self.name}-{self.start_count}",
            ip=self.ip,
            packages=self.builds[0],
            stall_ms=STALL_MS,
        )
        self.first_start = False


def now_ms():
    """Return the time of the running event loop in ms."""
    return asyncio.get_running_loop().time() * MS_PER_S
