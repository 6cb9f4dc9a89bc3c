"""The corianderhavend program."""

__all__ = ["Daemon", "Settings", "main"]


def __getattr__(name):
    """Import on first use: the program may run only `FleetDaemon`, and first handles signals."""
    if name == "Daemon":
        from ._daemon import Daemon

        return Daemon
    if name == "Settings":
        from ._settings import Settings

        return Settings
    if name == "main":
        from ._main import main

        return main
    raise AttributeError(name)
