"""The corianderhaven command-line tool."""

from ._main import main

__all__ = ["main"]
