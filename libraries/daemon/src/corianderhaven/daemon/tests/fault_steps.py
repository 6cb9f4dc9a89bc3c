"""Injects a fault at a named step of a request."""

import threading

from corianderhaven.daemon import _caller_routes
from corianderhaven.routing import _operations, _upstream


class StepHook:
    """Runs an action once, at a step of the next request.

    Parameters
    ----------
    monkeypatch : pytest.MonkeyPatch
    action : callable
        Injects the fault.
    """

    def __init__(self, monkeypatch, action):
        self.monkeypatch = monkeypatch
        self.action = action
        self.fired = False
        self.lock = threading.Lock()

    def fire(self):
        """Run the action unless it has already run."""
        with self.lock:
            if self.fired:
                return
            self.fired = True
        self.action()

    def before(self, owner, name):
        """Run the action before `owner.name` is called."""
        original = getattr(owner, name)

        def wrapped(*args, **kwargs):
            self.fire()
            return original(*args, **kwargs)

        self.monkeypatch.setattr(owner, name, wrapped)

    def after(self, owner, name):
        """Run the action after `owner.name` has returned."""
        original = getattr(owner, name)

        def wrapped(*args, **kwargs):
            result = original(*args, **kwargs)
            self.fire()
            return result

        self.monkeypatch.setattr(owner, name, wrapped)


def hook_draft(hook, daemon, step):
    """Attach a hook to a step of a draft inside the daemon; the caller handles later steps."""
    if step == "accept":
        hook.fire()
    elif step == "admit":
        hook.before(daemon.admission, "admit")
    elif step == "choose":
        hook.before(daemon.targets, "local_target")
    elif step == "connect":
        hook.before(_upstream, "open_connection")
    elif step == "send":
        hook.after(_upstream, "open_connection")


def hook_operation(hook, daemon, step):
    """Attach a hook to a step of an operation."""
    if step == "accept":
        hook.fire()
    elif step == "claim":
        hook.before(daemon.claims, "claim")
    elif step == "choose":
        hook.before(daemon.operations, "_choose_target")
    elif step == "connect":
        hook.before(_operations, "open_connection")
    elif step == "send":
        hook.after(_operations, "open_connection")
    elif step == "record":
        hook.before(daemon.claims, "complete")
    elif step == "answer":
        hook.before(_caller_routes, "operation_response")


__all__ = ["StepHook", "hook_draft", "hook_operation"]
