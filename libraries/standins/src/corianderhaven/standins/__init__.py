"""Stand-ins for the platform, model engines and plain services, for tests and demonstrations."""

from ._hosting_daemon import HostedDaemonProcess
from ._hosting_engine import HostedEngine, HostedEngines, HostedModel
from ._hosting_site import (
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    HostingSite,
    WorkerFaults,
    default_routes,
    small_models,
)
from ._hosting_store import HostedStore
from ._kv_store import KvStore
from ._layout import EngineLayout, Layout, PlatformLayout, VmLayout
from ._local_site import BOOTSTRAP_KEY, DaemonProcess, LocalSite, free_address
from ._main import main
from ._site import Site
from ._text import expected_text
from ._virtual_time import VirtualClock, run_in_virtual_time

__all__ = [
    "BOOTSTRAP_KEY",
    "DaemonProcess",
    "ENGINE_SERVICE",
    "EngineLayout",
    "HostedDaemonProcess",
    "HostedEngine",
    "HostedEngines",
    "HostedModel",
    "HostedStore",
    "HostingSite",
    "KvStore",
    "Layout",
    "LocalSite",
    "PLAIN_SERVICE",
    "PlatformLayout",
    "Site",
    "VirtualClock",
    "WorkerFaults",
    "VmLayout",
    "default_routes",
    "expected_text",
    "free_address",
    "main",
    "run_in_virtual_time",
    "small_models",
]
