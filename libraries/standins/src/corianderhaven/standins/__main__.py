"""Run the ``corianderhaven-standins`` program."""

import sys

from . import main

sys.exit(main())
