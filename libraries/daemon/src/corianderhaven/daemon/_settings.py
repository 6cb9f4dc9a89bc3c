"""Settings of the daemon, validated before it starts."""

from dataclasses import dataclass, field

from corianderhaven.common import SettingsError, check_address, check_positive

MIN_SECRET_LENGTH = 16
CHOOSERS = ("least-wait", "no-affinity", "random")
REPAIR_POLICIES = ("weighed", "always-wait", "always-dissolve", "greedy")
NAME_CHARACTERS = set("abcdefghijklmnopqrstuvwxyz0123456789-.")


@dataclass
class Settings:
    """Settings of a daemon.

    Attributes
    ----------
    name : str
        The VM's name in the platform's list.
    zone : str
        The VM's availability zone.
    callers, peers : str
        Addresses to listen on for callers, and for peers and operators.
    platform : str
        Address of the key-value service and VM list.
    secret : str
        Shared by all daemons of the site.
    bootstrap_key : str
        Operator key that is valid until operators are configured.
    """

    name: str
    zone: str
    callers: str
    peers: str
    platform: str
    secret: str
    seeds: list = field(default_factory=list)
    bootstrap_key: str = ""
    source_ip: str = ""
    caller_threads: int = 300
    drain_notice_ms: int = 3_000
    drain_bound_ms: int = 130_000
    chooser: str = "least-wait"
    repair_policy: str = "weighed"
    resume: bool = True
    fairness: bool = True
    seed: int = 0


def check_settings(settings):
    """Raise a `SettingsError` that describes the first invalid setting in one line."""
    for name in ("name", "zone"):
        value = getattr(settings, name)
        if not value or not set(value) <= NAME_CHARACTERS:
            raise SettingsError(f"{name} must be lower-case letters, digits, '-' and '.'")
    for name in ("callers", "peers", "platform"):
        check_address(name, getattr(settings, name))
    for address in settings.seeds:
        check_address("seeds", address)
    if len(settings.secret) < MIN_SECRET_LENGTH:
        raise SettingsError(f"secret must have at least {MIN_SECRET_LENGTH} characters")
    for name in ("caller_threads", "drain_notice_ms", "drain_bound_ms"):
        check_positive(name, getattr(settings, name))
    if settings.chooser not in CHOOSERS:
        raise SettingsError(f"chooser must be one of {', '.join(CHOOSERS)}")
    if settings.repair_policy not in REPAIR_POLICIES:
        raise SettingsError(f"repair_policy must be one of {', '.join(REPAIR_POLICIES)}")
