"""Findings in an operator's configuration beyond what its decoding rejects. Performs no I/O."""

from collections import Counter, defaultdict

from corianderhaven.common import Finding, Severity

from ._types import RequestKind

BYTES_PER_MB = 1 << 20
SHARE_TOLERANCE = 0.01  # of shares that are written with two digits


def check_config(config, settings=None):
    """Return the `Finding`s in a `FleetConfig`.

    Parameters
    ----------
    config : FleetConfig
    settings : NodeSettings or None
        Settings of a daemon, with whose limits those of the configuration are compared.
    """
    findings = [
        *_unmatchable_routes(config),
        *_unusable_services(config),
        *_unmatchable_accounts(config),
        *_contradicting_limits(config),
        *_model_shares(config),
    ]
    if settings is not None:
        findings += _contradicting_settings(config, settings)
    return findings


def _error(path, code, message):
    return Finding(Severity.ERROR, path, code, message)


def _warning(path, code, message):
    return Finding(Severity.WARNING, path, code, message)


def _unmatchable_routes(config):
    """Find routes that no request can match."""
    first_by_scope = {}
    names = Counter(route.name for route in config.routes)
    for name in (name for name, count in names.items() if count > 1):
        yield _error(f"$.routes[{name}]", "duplicate_name", f"{names[name]} routes have this name")
    for route in config.routes:
        path = f"$.routes[{route.name}].path_prefix"
        if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
            yield _error(path, "prefix_form", "a prefix begins and ends with a slash")
        scope = (route.host.lower(), route.path_prefix)
        first = first_by_scope.setdefault(scope, route)
        if first is not route:
            yield _error(
                path, "shadowed_route", f"route {first.name} matches the same requests first"
            )


def _unusable_services(config):
    routed = set()
    for route in config.routes:
        path = f"$.routes[{route.name}].services"
        for name, weight in route.services:
            routed.add(name)
            if name not in config.services:
                yield _error(path, "unknown_service", f"no service is named {name!r}")
            elif weight <= 0:
                yield _warning(path, "no_weight", f"service {name!r} gets no requests")
    for name in config.services.keys() - routed:
        yield _warning(f"$.services[{name}]", "unused_service", "no route leads to it")


def _unmatchable_accounts(config):
    holders = defaultdict(set)
    for account in config.accounts:
        if not account.keys:
            path = f"$.accounts[{account.name}].keys"
            yield _warning(path, "account_without_keys", "no request can belong to it")
        for key in account.keys:
            holders[key].add(account.name)
    for names in (sorted(names) for names in holders.values() if len(names) > 1):
        path = f"$.accounts[{names[0]}].keys"
        yield _error(path, "shared_key", f"accounts {', '.join(names)} hold the same key")
    closed = [route for route in config.routes if not route.anonymous]
    if closed and not holders:
        path = f"$.routes[{closed[0].name}]"
        yield _error(path, "no_keys", "it asks for a key, and no account holds one")
    if config.accounts and not closed:
        yield _warning("$.accounts", "unused_accounts", "every route is open to anybody")


def _contradicting_limits(config):
    for route in config.routes:
        path = f"$.routes[{route.name}]"
        if route.timeout_ms <= 0:
            yield _error(f"{path}.timeout_ms", "no_time", "every request ends at once")
        elif route.goal_ms >= route.timeout_ms:
            message = f"the goal of {route.goal_ms:g} ms is only reached after the timeout"
            yield _error(f"{path}.timeout_ms", "timeout_below_goal", message)
        if route.gap_goal_ms >= route.timeout_ms > 0 and route.gap_goal_ms:
            message = f"a pause of {route.gap_goal_ms:g} ms outlasts the timeout"
            yield _warning(f"{path}.gap_goal_ms", "gap_above_timeout", message)
        is_stream = route.kind is RequestKind.STREAM
        if route.resumable and not is_stream:
            yield _warning(f"{path}.resumable", "resumable_without_stream", "only streams resume")
        if route.max_endpoints < 1:
            yield _error(f"{path}.max_endpoints", "no_endpoint", "no request may be sent")
        if route.max_endpoints > 1 and not route.retryable:
            message = "its requests are sent once at most, whatever this says"
            yield _warning(f"{path}.max_endpoints", "attempts_without_retry", message)
    limits = config.limits
    if limits.idle_timeout_ms < limits.header_timeout_ms:
        message = f"shorter than the {limits.header_timeout_ms:g} ms that a header may take"
        yield _warning("$.limits.idle_timeout_ms", "idle_below_header_timeout", message)


def _model_shares(config):
    for service in config.services.values():
        models = service.engine.models if service.engine is not None else ()
        total = sum(model.share for model in models)
        if models and abs(total - 1.0) > SHARE_TOLERANCE:
            path = f"$.services[{service.name}].engine.models"
            yield _warning(path, "shares_do_not_sum", f"the shares sum to {total:g}, not to 1")


def _contradicting_settings(config, settings):
    """Find limits that a daemon's own settings contradict."""
    for route in config.routes:
        if route.goal_ms > settings.grace_ms:
            path = f"$.routes[{route.name}].goal_ms"
            message = f"a drain ends after {settings.grace_ms:g} ms, before such an answer"
            yield _warning(path, "goal_above_grace", message)
        if route.max_endpoints > 1 and route.retryable and not settings.retry_ratio:
            path = f"$.routes[{route.name}].max_endpoints"
            yield _warning(path, "no_retry_budget", "the settings allow no retries in proportion")
    if settings.drain_ms > settings.grace_ms:
        message = (
            f"daemons end {settings.grace_ms:g} ms after SIGTERM, before endpoints are drained"
        )
        yield _warning("$settings.drain_ms", "drain_above_grace", message)
    body_bytes = config.limits.body_bytes
    memory_mb = settings.memory_mb
    if memory_mb is not None and body_bytes > memory_mb * BYTES_PER_MB:
        message = f"a daemon's VM has {memory_mb:g} MB of memory"
        yield _error("$.limits.body_bytes", "body_above_memory", message)
