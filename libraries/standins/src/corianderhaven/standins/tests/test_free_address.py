"""Port reservation between sites that run in parallel."""

import socket
import subprocess
import sys

from corianderhaven.standins import _local_site, free_address

TAKE_ADDRESS = """
import sys
from corianderhaven.standins import free_address
print(free_address(), flush=True)
sys.stdin.read()
"""


def test_port_reserved_by_another_process_is_not_reused_while_its_daemon_is_down(monkeypatch):
    """A parallel test run could take the port of a daemon that was being restarted."""
    other = subprocess.Popen(
        [sys.executable, "-c", TAKE_ADDRESS],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        taken = int(other.stdout.readline().rpartition(":")[2])
        picks = iter([taken, taken, taken + 1, taken + 2, taken + 3])
        monkeypatch.setattr(_local_site._port_rng, "randrange", lambda low, high: next(picks))
        assert free_address() != f"127.0.0.1:{taken}"
    finally:
        other.communicate()


def test_port_with_a_listener_is_not_returned(monkeypatch):
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        port = listener.getsockname()[1]
        other = int(free_address().rpartition(":")[2]) + 1
        picks = iter([port, other, other + 1, other + 2])
        monkeypatch.setattr(_local_site._port_rng, "randrange", lambda low, high: next(picks))
        assert free_address() != f"127.0.0.1:{port}"
