"""Layout of the stand-ins: which VMs exist and how they behave."""

import msgspec


class VmLayout(msgspec.Struct, kw_only=True):
    """One VM of the site.

    Attributes
    ----------
    kind : str
        ``engine``, ``service`` or ``entry``. An entry VM runs a daemon, so the stand-ins only list
        it.
    address : str
        ``IP:port`` of the endpoint, or of the daemon's peer listener.
    """

    id: str
    address: str
    zone: str
    kind: str
    label: str
    fabric_domain: str = ""
    checks_fencing_token: bool = True


class PlatformLayout(msgspec.Struct, kw_only=True):
    """Limits of the platform's services.

    Attributes
    ----------
    writes_per_s, reads_per_s : float
        Rate limits of the key-value service; watches are not limited.
    vm_list_lag_ms : float
        How old the answers of the VM list are.
    """

    address: str
    writes_per_s: float = 400.0
    reads_per_s: float = 2000.0
    max_value_bytes: int = 1024 * 1024
    vm_list_lag_ms: float = 1000.0


class EngineLayout(msgspec.Struct, kw_only=True):
    """Timing and capacity of the engines.

    Attributes
    ----------
    token_ms : float
        Time of one decoding step for the whole batch.
    prefill_ms_per_block : float
        Prefill time per prompt block that is not cached.
    load_ms : float
        Time to load a model version from the weight store.
    load_report_lag_ms : float
        How old the load that a member reports is.
    cache_event_lag_ms : float
        Delay of cache events.
    cache_event_loss : float
        Fraction of cache events that are never published.
    members_per_replica : int
        Used only to compute group downtime and stranded accelerators.
    """

    token_ms: float = 25.0
    max_batch: int = 16
    prefill_ms_per_block: float = 2.0
    cache_blocks: int = 4096
    load_ms: float = 800.0
    load_report_lag_ms: float = 300.0
    cache_event_lag_ms: float = 500.0
    cache_event_loss: float = 0.1
    stream_retention_ms: float = 20_000.0
    members_per_replica: int = 4
    threads: int = 40


class Layout(msgspec.Struct, kw_only=True):
    """All stand-ins in one process.

    Attributes
    ----------
    control_address : str
        Address of the listener that sets faults and returns counters.
    platform : PlatformLayout or None
        None if another process stands in for the platform.
    only_listed : bool
        Whether this process only lists the VMs, while other processes run them.
    """

    control_address: str
    platform: PlatformLayout | None = None
    engine: EngineLayout = msgspec.field(default_factory=EngineLayout)
    vms: list[VmLayout] = []
    only_listed: bool = False
    seed: int = 1
