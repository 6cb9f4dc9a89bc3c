"""The demonstration on the stand-in of the users' platform, with daemons as processes."""

import subprocess
import sys
from pathlib import Path

DEMONSTRATION = Path(__file__).parents[6] / "examples" / "hosted_demonstration.py"


def test_demonstration_serves_through_a_lost_member_and_an_outage():
    done = subprocess.run(
        [sys.executable, str(DEMONSTRATION)], capture_output=True, timeout=90, check=False
    )
    assert done.returncode == 0, done.stdout.decode() + done.stderr.decode()


def test_wrong_node_file_ends_with_one_line_and_exit_code_two(tmp_path):
    path = tmp_path / "node.toml"
    path.write_text('node_name = "n"\n')
    done = subprocess.run(
        [sys.executable, "-m", "corianderhaven.daemon", "--node-file", str(path)],
        capture_output=True,
        timeout=30,
        check=False,
    )
    assert done.returncode == 2
    assert b"node file" in done.stderr
    assert b"Traceback" not in done.stderr
