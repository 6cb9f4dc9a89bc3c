"""A daemon in a separate process that runs against the stand-in of the hosting platform."""

import os
import signal
import subprocess
import sys
from pathlib import Path

from corianderhaven.common import AsyncHttpClient, ConnectionLostError

from ._local_site import free_address

STOP_TIMEOUT_S = 15.0
NODE_FILE_TEMPLATE = """
node_name = "{name}"
ip = "{ip}"
zone = "{zone}"
port_range = [{port}, {port}]
bootstrap = {first_start}
[listen]
front = "{front}"
ready = "{ready}"
[bounds]
grace_s = {grace_s}
stall_ms = {stall_ms}
retry_ratio = 0.2
retry_slack = 107
[platform]
address = "{store}"
[limits]
{limits}
"""


class HostedDaemonProcess:
    """One daemon process with its own node file.

    Parameters
    ----------
    name, zone : str
    store : str
        Address of the metadata store.
    folder : str
        Folder for the node file and the log.
    previous : HostedDaemonProcess or None
        Earlier process of the same daemon whose addresses are reused.
    ip : str
        Loopback address at which it listens, and from which it connects to endpoints.
    packages : str
        Folder with the installed packages of another build to run; by default those of this
        process.
    limits : dict
        Entries of the section ``[limits]`` of the node file.
    stall_ms : int
        Time after which a head that lacks a member breaks; by default that of a `HostingSite`.
    """

    def __init__(
        self,
        name,
        zone,
        store,
        folder,
        first_start=True,
        grace_s=8,
        previous=None,
        log_name=None,
        ip="127.0.0.1",
        packages="",
        limits=None,
        stall_ms=400,
    ):
        self.front = previous.front if previous else free_address(ip)
        self.ready = previous.ready if previous else free_address(ip)
        self.peers = previous.peers if previous else free_address(ip)
        ip, _, port = self.peers.rpartition(":")
        path = Path(folder) / f"{name}.toml"
        path.write_text(
            NODE_FILE_TEMPLATE.format(
                name=name,
                ip=ip,
                zone=zone,
                port=port,
                first_start=str(first_start).lower(),
                front=self.front,
                ready=self.ready,
                grace_s=grace_s,
                stall_ms=stall_ms,
                store=store,
                limits="\n".join(f"{key} = {value}" for key, value in (limits or {}).items()),
            )
        )
        self.log = (Path(folder) / f"{log_name or name}.log").open("wb")
        command = [sys.executable, "-m", "corianderhaven.daemon", "--node-file", str(path)]
        environment = {**os.environ, "PYTHONPATH": packages} if packages else os.environ
        self.process = subprocess.Popen(command, stdout=self.log, stderr=self.log, env=environment)

    async def is_ready(self):
        """Return whether the daemon reports that it is ready."""
        client = AsyncHttpClient(self.ready)
        try:
            return (await client.call("GET", "/api/readyz")).status == 200
        except ConnectionLostError:
            return False
        finally:
            client.close()

    def stop(self, timeout_s=STOP_TIMEOUT_S):
        """Stop the daemon with SIGTERM; return its exit code, or None if it had to be killed."""
        self.process.send_signal(signal.SIGTERM)
        try:
            return self.process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None
        finally:
            self.kill()

    def kill(self):
        """Kill the daemon process."""
        self.process.kill()
        self.process.wait()
        self.log.close()
