"""The corianderhavend program."""

from ._main import main

__all__ = ["Daemon", "Settings", "main"]


def __getattr__(name):
    """Load the daemon's classes when asked for; the program may need only one kind."""
    if name == "Daemon":
        from ._daemon import Daemon

        return Daemon
    if name == "Settings":
        from ._settings import Settings

        return Settings
    raise AttributeError(name)
