"""Tests of daemon processes on the stand-in of the hosting platform."""

import asyncio
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from corianderhaven.daemon.tests.hosted_site import wait_until
from corianderhaven.standins import HostedDaemonProcess, HostingSite, small_models

DEMONSTRATION = Path(__file__).parents[6] / "examples" / "hosted_demonstration.py"


def test_demonstration_serves_despite_member_loss_and_outage():
    completed = subprocess.run(
        [sys.executable, str(DEMONSTRATION)], capture_output=True, timeout=90, check=False
    )
    assert completed.returncode == 0, completed.stdout.decode() + completed.stderr.decode()


def test_invalid_node_file_exits_with_status_two_and_no_traceback(tmp_path):
    path = tmp_path / "node.toml"
    path.write_text('node_name = "n"\n')
    completed = subprocess.run(
        [sys.executable, "-m", "corianderhaven.daemon", "--node-file", str(path)],
        capture_output=True,
        timeout=30,
        check=False,
    )
    assert completed.returncode == 2
    assert b"node file" in completed.stderr
    assert b"Traceback" not in completed.stderr


def test_sighup_while_a_daemon_starts_does_not_end_it(tmp_path):
    """Guards against the default action, for which the first half second of a process was open."""

    def ignores_sighup(pid):
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
        mask = next(line for line in lines if line.startswith("SigIgn:")).split()[1]
        return bool(int(mask, 16) >> (signal.SIGHUP - 1) & 1)

    async def scenario():
        site = await HostingSite(["a"], 2, small_models(), 1).start()
        daemon = HostedDaemonProcess("d", "a", site.store_server.address, str(tmp_path))
        log = tmp_path / "d.log"
        try:
            await wait_until(lambda: ignores_sighup(daemon.process.pid))
            while b"daemon_started" not in log.read_bytes():
                daemon.process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.01)
                assert daemon.process.poll() is None
            daemon.process.send_signal(signal.SIGHUP)
            await wait_until(lambda: log.read_bytes().count(b"settings_reloaded") >= 2)
            return await asyncio.get_running_loop().run_in_executor(None, daemon.stop)
        finally:
            daemon.kill()
            site.close()

    assert asyncio.run(scenario()) == 0


@pytest.mark.parametrize("signal_number", [signal.SIGHUP, signal.SIGTERM])
def test_signals_during_a_stop_do_not_end_it(tmp_path, signal_number):
    """Guards against the default action, which applied again once the event loop was closed."""

    async def scenario():
        site = await HostingSite(["a"], 2, small_models(), 1).start()
        daemon = HostedDaemonProcess("d", "a", site.store_server.address, str(tmp_path), grace_s=1)
        try:
            await wait_until(lambda: b"daemon_started" in (tmp_path / "d.log").read_bytes())
            daemon.process.send_signal(signal.SIGTERM)
            while daemon.process.poll() is None:
                daemon.process.send_signal(signal_number)
                await asyncio.sleep(0.002)
            return daemon.process.returncode
        finally:
            daemon.kill()
            site.close()

    assert asyncio.run(scenario()) == 0
    log = (tmp_path / "d.log").read_bytes()
    assert log.count(b"drain_begun") == log.count(b"drain_ended") == 1
