"""Runs the command-line tool."""

import sys

from . import main

sys.exit(main())
