"""Stand-ins of the platform, model engines and plain services, for tests and demonstrations."""

from ._kv_store import KvStore
from ._layout import EngineLayout, Layout, PlatformLayout, VmLayout
from ._local_site import BOOTSTRAP_KEY, DaemonProcess, LocalSite, free_address
from ._main import main
from ._site import Site
from ._text import expected_text

__all__ = [
    "BOOTSTRAP_KEY",
    "DaemonProcess",
    "EngineLayout",
    "KvStore",
    "Layout",
    "LocalSite",
    "PlatformLayout",
    "Site",
    "VmLayout",
    "expected_text",
    "free_address",
    "main",
]
