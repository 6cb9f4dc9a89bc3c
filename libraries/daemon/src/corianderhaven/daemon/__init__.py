"""The corianderhavend program."""

from ._daemon import Daemon
from ._main import main
from ._settings import Settings

__all__ = ["Daemon", "Settings", "main"]
