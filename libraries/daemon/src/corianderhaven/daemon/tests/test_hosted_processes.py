"""Tests of daemon processes on the stand-in of the hosting platform."""

import subprocess
import sys
from pathlib import Path

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
