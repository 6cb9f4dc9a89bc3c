"""Runs the program of this package."""

import sys

from . import main

sys.exit(main())
