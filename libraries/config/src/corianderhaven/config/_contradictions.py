"""Findings in a valid document: entries without effect and limits that contradict each other."""

from corianderhaven.common import Finding, Severity


def find_contradictions(document):
    """Return the `Finding`s in a document that `check_document` accepts.

    Parameters
    ----------
    document : Document

    Returns
    -------
    list of Finding
    """
    return [
        *_unmatchable_accounts(document),
        *_unused_models(document),
        *(f for deployment in document.deployments for f in _contradicting_limits(deployment)),
    ]


def _warning(path, code, message):
    return Finding(Severity.WARNING, path, code, message)


def _unmatchable_accounts(document):
    targets = [*document.deployments, *document.services]
    open_to_all = any(not target.accounts for target in targets)
    used = {name for target in targets for name in target.accounts}
    for account in document.accounts:
        path = f"$.accounts[{account.name}]"
        if not account.keys:
            yield _warning(f"{path}.keys", "account_without_keys", "no request can belong to it")
        if not open_to_all and account.name not in used:
            yield _warning(path, "unused_account", "no deployment or service serves it")


def _unused_models(document):
    used = {deployment.model for deployment in document.deployments}
    for model in document.models:
        if model.name not in used:
            yield _warning(f"$.models[{model.name}]", "unused_model", "no deployment serves it")


def _contradicting_limits(deployment):
    path, limits = f"$.deployments[{deployment.name}]", deployment.limits
    total_ms = limits.total_deadline_ms
    for name in ("queue_deadline_ms", "first_token_deadline_ms", "gap_deadline_ms"):
        bound_ms = getattr(limits, name)
        if bound_ms > total_ms:
            message = f"{bound_ms} ms never passes within the total deadline of {total_ms} ms"
            yield _warning(f"{path}.limits.{name}", "above_total_deadline", message)
    if limits.queue_deadline_ms >= limits.first_token_deadline_ms:
        message = "a request may wait as long as its first token may take"
        yield _warning(f"{path}.limits.queue_deadline_ms", "queue_above_first_token", message)
    if deployment.floor.whole_replicas > deployment.max_replicas_per_zone:
        message = f"there are never more than {deployment.max_replicas_per_zone} in a zone"
        yield Finding(Severity.ERROR, f"{path}.floor.whole_replicas", "floor_above_most", message)
    repair = deployment.repair
    if not repair.group_downtime and not repair.stranded_accelerators:
        yield _warning(f"{path}.repair", "no_repair", "with both weights 0 nothing is repaired")
