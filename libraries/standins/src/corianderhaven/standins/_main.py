"""Command line of the ``corianderhaven-standins`` program."""

import signal
import threading
from pathlib import Path

import msgspec

from corianderhaven.common import SettingsError, configure_logging, run_program

from ._layout import Layout
from ._site import Site


def serve(*, layout: str, log_format: str = "text", log_level: str = "WARNING"):
    """Run the stand-ins of a layout until SIGTERM or SIGINT.

    :param layout: path of a JSON layout
    :param log_format: text or json
    :param log_level: minimum level of logged messages
    """
    configure_logging(log_format, log_level)
    try:
        parsed = msgspec.json.decode(Path(layout).read_bytes(), type=Layout)
    except (OSError, msgspec.DecodeError) as error:
        raise SettingsError(f"cannot read the layout: {error}")
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    site = Site(parsed).start()
    stopping.wait()
    site.close()


def main(arguments=None):
    """Run the program and return its exit code."""
    return run_program(serve, "CORIANDERHAVEN_STANDINS_", arguments)
