"""The corianderhavend program."""

from ._main import main

__all__ = ["Daemon", "Settings", "main"]


def __getattr__(name):
    """Import the daemon's classes on first use; the program may run only `FleetDaemon`."""
    if name == "Daemon":
        from ._daemon import Daemon

        return Daemon
    if name == "Settings":
        from ._settings import Settings

        return Settings
    raise AttributeError(name)
