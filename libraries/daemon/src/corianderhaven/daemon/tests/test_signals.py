"""Tests of signals that are delivered to a thread other than the main thread."""

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


def test_signal_delivered_to_another_thread_starts_a_drain():
    """A main thread that kept sleeping left a daemon ready for 20 s after SIGTERM."""
    completed = subprocess.run(
        [sys.executable, "-c", PROGRAM], timeout=15.0, capture_output=True, check=False
    )
    assert completed.returncode == 0
    assert b"drain_ended" in completed.stderr + completed.stdout
