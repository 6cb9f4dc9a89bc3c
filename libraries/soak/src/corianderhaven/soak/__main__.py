"""Runs the soak test from the command line."""

import sys

from . import main

sys.exit(main())
