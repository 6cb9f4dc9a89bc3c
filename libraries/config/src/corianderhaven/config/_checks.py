"""Checks that go beyond field types; all errors are collected with their paths."""

from collections import Counter

import msgspec

from corianderhaven.common import CorianderhavenError, ErrorCode, FieldError

from ._models import Document


def parse_document(payload):
    """Decode and check a document.

    Parameters
    ----------
    payload : bytes
        JSON.

    Returns
    -------
    Document

    Raises
    ------
    CorianderhavenError
        With all errors by path; nothing is changed.
    """
    try:
        raw = msgspec.json.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise CorianderhavenError(ErrorCode.MALFORMED_JSON, str(error)) from None
    errors = _collect_shape_errors(raw)
    if not errors:
        document = msgspec.convert(raw, Document)
        errors = check_document(document)
    if errors:
        message = f"the document has {len(errors)} error(s)"
        raise CorianderhavenError(ErrorCode.INVALID_DOCUMENT, message, errors=errors)
    return document


def _collect_shape_errors(raw):
    """Return one error per top-level field or list item, since msgspec stops at the first."""
    try:
        msgspec.convert(raw, Document)
        return []
    except msgspec.ValidationError as error:
        first = _split(error)
    if not isinstance(raw, dict):
        return [first]
    known = {item.name: item.type for item in msgspec.structs.fields(Document)}
    errors = [
        error
        for name, value in raw.items()
        if name in known
        for error in _field_errors(name, value, known[name])
    ]
    errors += [
        FieldError(f"$.{name}", "Object contains unknown field")
        for name in raw
        if name not in known
    ]
    missing = [item.name for item in msgspec.structs.fields(Document) if item.required]
    errors += [FieldError(f"$.{name}", "missing") for name in missing if name not in raw]
    return errors or [first]


def _field_errors(name, value, kind):
    item_kind = getattr(kind, "__args__", (None,))[0]
    is_struct_list = isinstance(item_kind, type) and issubclass(item_kind, msgspec.Struct)
    parts = (
        [(f"$.{name}[{index}]", item, item_kind) for index, item in enumerate(value)]
        if is_struct_list and isinstance(value, list)
        else [(f"$.{name}", value, kind)]
    )
    errors = []
    for path, part, part_kind in parts:
        try:
            msgspec.convert(part, part_kind)
        except msgspec.ValidationError as error:
            found = _split(error)
            errors.append(FieldError(path + found.path[1:], found.message))
    return errors


def _split(error):
    message, _, path = str(error).partition(" - at `")
    return FieldError(path.rstrip("`") or "$", message)


def check_document(document):
    """Return the errors of references, duplicates and combinations.

    Parameters
    ----------
    document : Document

    Returns
    -------
    list of FieldError
    """
    errors = []
    for name in ("accounts", "operators", "models", "deployments", "services"):
        errors += _duplicates(f"$.{name}", [item.name for item in getattr(document, name)])
    errors += _duplicates("$.zones", document.zones)
    errors += _check_keys(document)
    for index, deployment in enumerate(document.deployments):
        errors += _check_deployment(f"$.deployments[{index}]", deployment, document)
    for index, service in enumerate(document.services):
        path = f"$.services[{index}]"
        errors += _duplicates(f"{path}.operations", [item.name for item in service.operations])
        errors += _dangling(f"{path}.accounts", service.accounts, document.accounts)
        errors += _unknown_zones(f"{path}.vms.zones", service.vms.zones, document)
    return errors


def _duplicates(path, names):
    return [
        FieldError(path, f"{name!r} stands {count} times")
        for name, count in Counter(names).items()
        if count > 1
    ]


def _dangling(path, names, targets):
    known = {target.name for target in targets}
    return [
        FieldError(f"{path}[{index}]", f"no such name: {name!r}")
        for index, name in enumerate(names)
        if name not in known
    ]


def _unknown_zones(path, zones, document):
    return [
        FieldError(f"{path}[{index}]", f"no such availability zone: {zone!r}")
        for index, zone in enumerate(zones)
        if zone not in document.zones
    ]


def _check_keys(document):
    holders = [*document.accounts, *document.operators]
    return _duplicates("$..keys", [key.id for holder in holders for key in holder.keys])


def _check_deployment(path, deployment, document):
    errors = _dangling(f"{path}.accounts", deployment.accounts, document.accounts)
    errors += _unknown_zones(f"{path}.vms.zones", deployment.vms.zones, document)
    model = next((item for item in document.models if item.name == deployment.model), None)
    if model is None:
        return [*errors, FieldError(f"{path}.model", f"no such model: {deployment.model!r}")]
    if deployment.version not in model.versions:
        errors.append(FieldError(f"{path}.version", f"no such version: {deployment.version!r}"))
    errors += [
        FieldError(f"{path}.adapters[{index}]", f"no such adapter: {adapter!r}")
        for index, adapter in enumerate(deployment.adapters)
        if adapter not in model.adapters
    ]
    return errors
