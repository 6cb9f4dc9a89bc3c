"""Signals that arrive at another thread than the main one."""

import subprocess
import sys

PROGRAM = """
import signal, threading, time
from corianderhaven.daemon import main

def send():
    time.sleep(1.0)
    signal.pthread_kill(threading.get_ident(), signal.SIGTERM)
    time.sleep(60.0)

threading.Thread(target=send, daemon=True).start()
raise SystemExit(main([
    "--name=entry-1", "--zone=plateau", "--callers=127.0.0.1:0", "--peers=127.0.0.1:0",
    "--platform=127.0.0.1:1", "--secret=a-secret-for-tests-only", "--drain-notice-ms=100",
]))
"""


def test_drain_begins_also_when_another_thread_gets_the_signal():
    """Replays a daemon that stayed ready for 20 s after SIGTERM: its main thread slept on."""
    ended = subprocess.run(
        [sys.executable, "-c", PROGRAM], timeout=15.0, capture_output=True, check=False
    )
    assert ended.returncode == 0
    assert b"drain_ended" in ended.stderr + ended.stdout
