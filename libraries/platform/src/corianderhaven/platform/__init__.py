"""Clients of the platform's key-value service and VM list."""

from ._base import (
    BaseKeyValueStore,
    BaseVmList,
    Item,
    KeyValueError,
    Swap,
    SwapResult,
    Vm,
    VmKind,
    VmState,
)
from ._etcd_gateway import EtcdGatewayStore
from ._vm_list import HttpVmList

__all__ = [
    "BaseKeyValueStore",
    "BaseVmList",
    "EtcdGatewayStore",
    "HttpVmList",
    "Item",
    "KeyValueError",
    "Swap",
    "SwapResult",
    "Vm",
    "VmKind",
    "VmState",
]
