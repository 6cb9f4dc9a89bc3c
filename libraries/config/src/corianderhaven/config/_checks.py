"""Validation of configuration documents that reports all errors with their paths."""

from collections import Counter

import msgspec

from corianderhaven.common import CorianderhavenError, ErrorCode, FieldError

from ._models import Document


def parse_document(payload):
    """Decode and validate a document.

    Parameters
    ----------
    payload : bytes
        The document as JSON.

    Returns
    -------
    Document

    Raises
    ------
    CorianderhavenError
        With all validation errors and their paths.
    """
    try:
        raw = msgspec.json.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise CorianderhavenError(ErrorCode.MALFORMED_JSON, str(error)) from None
    errors = _type_errors(raw)
    if not errors:
        document = msgspec.convert(raw, Document)
        errors = check_document(document)
    if errors:
        message = f"the document has {len(errors)} error(s)"
        raise CorianderhavenError(ErrorCode.INVALID_DOCUMENT, message, errors=errors)
    return document


def _type_errors(raw):
    """Return at most one error per top-level field or list item.

    Each is converted separately because msgspec stops at the first error.
    """
    try:
        msgspec.convert(raw, Document)
        return []
    except msgspec.ValidationError as error:
        first = _to_field_error(error)
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


def _field_errors(name, value, field_type):
    item_type = getattr(field_type, "__args__", (None,))[0]
    is_struct_list = isinstance(item_type, type) and issubclass(item_type, msgspec.Struct)
    parts = (
        [(f"$.{name}[{index}]", item, item_type) for index, item in enumerate(value)]
        if is_struct_list and isinstance(value, list)
        else [(f"$.{name}", value, field_type)]
    )
    errors = []
    for path, part, part_type in parts:
        try:
            msgspec.convert(part, part_type)
        except msgspec.ValidationError as error:
            found = _to_field_error(error)
            errors.append(FieldError(path + found.path[1:], found.message))
    return errors


def _to_field_error(error):
    message, _, path = str(error).partition(" - at `")
    return FieldError(path.rstrip("`") or "$", message)


def check_document(document):
    """Return the errors of references, duplicate names and invalid combinations.

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
    errors += _duplicate_key_ids(document)
    for index, deployment in enumerate(document.deployments):
        errors += _check_deployment(f"$.deployments[{index}]", deployment, document)
    for index, service in enumerate(document.services):
        path = f"$.services[{index}]"
        errors += _duplicates(f"{path}.operations", [item.name for item in service.operations])
        errors += _unresolved_references(f"{path}.accounts", service.accounts, document.accounts)
        errors += _unknown_zones(f"{path}.vms.zones", service.vms.zones, document)
    return errors


def _duplicates(path, names):
    return [
        FieldError(path, f"{name!r} stands {count} times")
        for name, count in Counter(names).items()
        if count > 1
    ]


def _unresolved_references(path, names, definitions):
    known = {definition.name for definition in definitions}
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


def _duplicate_key_ids(document):
    holders = [*document.accounts, *document.operators]
    return _duplicates("$..keys", [key.id for holder in holders for key in holder.keys])


def _check_deployment(path, deployment, document):
    errors = _unresolved_references(f"{path}.accounts", deployment.accounts, document.accounts)
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
