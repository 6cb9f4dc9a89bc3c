"""Runs corianderhavend with ``python -m corianderhaven.daemon``."""

import sys

from . import main

sys.exit(main())
