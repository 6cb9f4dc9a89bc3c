"""Runs corianderhavend with ``python -m corianderhaven.daemon``."""

import signal
import sys

# Its default action ends the process. The settings are read later, so nothing is missed.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from . import main  # noqa: E402

sys.exit(main())
