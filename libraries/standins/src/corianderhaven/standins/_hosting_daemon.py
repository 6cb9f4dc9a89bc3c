"""A daemon as a process of its own, before the hosting platform's stand-in."""

import os
import signal
import subprocess
import sys
from pathlib import Path

from corianderhaven.common import AsyncHttpClient, ConnectionLostError

from ._local_site import free_address

STOP_S = 15.0
NODE_FILE = """
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
stall_ms = 400
retry_ratio = 0.2
retry_slack = 107
[platform]
address = "{store}"
"""


class HostedDaemonProcess:
    """One corianderhavend with a node file of its own.

    Parameters
    ----------
    name, zone : str
    store : str
        Address of the metadata store.
    folder : str
        For node file and log.
    previous : HostedDaemonProcess or None
        An earlier start whose addresses are used again.
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
    ):
        self.front = previous.front if previous else free_address()
        self.ready = previous.ready if previous else free_address()
        self.peers = previous.peers if previous else free_address()
        ip, _, port = self.peers.rpartition(":")
        path = Path(folder) / f"{name}.toml"
        path.write_text(
            NODE_FILE.format(
                name=name,
                ip=ip,
                zone=zone,
                port=port,
                first_start=str(first_start).lower(),
                front=self.front,
                ready=self.ready,
                grace_s=grace_s,
                store=store,
            )
        )
        self.log = (Path(folder) / f"{log_name or name}.log").open("wb")
        command = [sys.executable, "-m", "corianderhaven.daemon", "--node-file", str(path)]
        self.process = subprocess.Popen(command, stdout=self.log, stderr=self.log, env=os.environ)

    async def is_ready(self):
        """Return whether the daemon says that it is ready."""
        client = AsyncHttpClient(self.ready)
        try:
            return (await client.call("GET", "/api/readyz")).status == 200
        except ConnectionLostError:
            return False
        finally:
            client.close()

    def stop(self, bound_s=STOP_S):
        """Stop the daemon in order; returns its exit code, None when it had to be killed."""
        self.process.send_signal(signal.SIGTERM)
        try:
            return self.process.wait(bound_s)
        except subprocess.TimeoutExpired:
            return None
        finally:
            self.kill()

    def kill(self):
        """End the daemon without a warning."""
        self.process.kill()
        self.process.wait()
        self.log.close()
