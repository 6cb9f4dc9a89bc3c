"""Builds forms from the types of the configuration document, and documents from forms."""

import re
from dataclasses import dataclass, field

import msgspec

from corianderhaven.config import Document

MAX_LIST_ITEMS = 500


@dataclass
class FormField:
    """A field of a form.

    Attributes
    ----------
    path : str
        Input name, such as ``deployments.0.model``.
    kind : str
        ``text``, ``number``, ``checkbox``, ``choice``, ``lines``, ``group`` or ``items``.
    children : list of FormField
        Fields of a ``group``, or one group per item of ``items``.
    """

    path: str
    label: str
    kind: str
    value: object = ""
    required: bool = False
    errors: list = field(default_factory=list)
    choices: list = field(default_factory=list)
    children: list = field(default_factory=list)


def document_form(raw, errors=()):
    """Return the top-level form fields for a raw document.

    Parameters
    ----------
    raw : dict
        Decoded JSON, possibly invalid.
    errors : list of FieldError
        Attached to the fields they concern.
    """
    by_path = {}
    for error in errors:
        by_path.setdefault(_input_name(error.path), []).append(error.message)
    document_type = msgspec.inspect.type_info(Document)
    return _group_fields("", document_type, raw if isinstance(raw, dict) else {}, by_path)


def errors_without_field(fields, errors):
    """Return the errors whose path has no field in the form."""
    names = set(_field_names(fields))
    return [error for error in errors if _input_name(error.path) not in names]


def read_form(values):
    """Return the raw document that a submitted form describes.

    Parameters
    ----------
    values : dict of str to str
        Input values by name.
    """
    document_type = msgspec.inspect.type_info(Document)
    return _read_group("", document_type, values)


def add_item(raw, list_path):
    """Append an empty item to a list, given as ``deployments`` or ``accounts.0.keys``."""
    _find_list(raw, list_path).append({})


def remove_item(raw, item_path):
    """Remove an item of a list, given as ``deployments.2``."""
    list_path, _, index = item_path.rpartition(".")
    items = _find_list(raw, list_path)
    if index.isdigit() and int(index) < len(items):
        del items[int(index)]


def _find_list(raw, path):
    for part in path.split("."):
        if part.isdigit() and int(part) < len(raw):
            raw = raw[int(part)]
        elif isinstance(raw, dict):
            raw = raw.setdefault(part, [])
        else:
            return []
    return raw if isinstance(raw, list) else []


def _input_name(path):
    return re.sub(r"\[(\d+)\]", r".\1", path.removeprefix("$")).removeprefix(".")


def _field_names(fields):
    for item in fields:
        yield item.path
        yield from _field_names(item.children)


def _without_constraints(kind):
    """Return a type without its constraints."""
    return kind.type if isinstance(kind, msgspec.inspect.Metadata) else kind


def _group_fields(prefix, kind, raw, errors):
    fields = []
    for item in kind.fields:
        path = f"{prefix}{item.name}"
        value = raw.get(item.name, _default_value(item))
        fields.append(_make_field(path, item, _without_constraints(item.type), value, errors))
    return fields


def _default_value(item):
    if item.default is not msgspec.NODEFAULT:
        return msgspec.to_builtins(item.default)
    if item.default_factory is not msgspec.NODEFAULT:
        return msgspec.to_builtins(item.default_factory())
    return ""


def _make_field(path, item, kind, value, errors):
    form_field = FormField(
        path,
        item.name.replace("_", " "),
        "text",
        value,
        item.required,
        errors.get(path, []),
    )
    if isinstance(kind, msgspec.inspect.StructType):
        form_field.kind = "group"
        inner = value if isinstance(value, dict) else {}
        form_field.children = _group_fields(f"{path}.", kind, inner, errors)
    elif isinstance(kind, msgspec.inspect.ListType):
        _fill_list(form_field, path, _without_constraints(kind.item_type), value, errors)
    elif isinstance(kind, msgspec.inspect.BoolType):
        form_field.kind = "checkbox"
    elif isinstance(kind, msgspec.inspect.IntType | msgspec.inspect.FloatType):
        form_field.kind = "number"
    elif isinstance(kind, msgspec.inspect.LiteralType):
        form_field.kind, form_field.choices = "choice", list(kind.values)
    return form_field


def _fill_list(form_field, path, item_kind, value, errors):
    items = value if isinstance(value, list) else []
    if isinstance(item_kind, msgspec.inspect.StructType):
        form_field.kind = "items"
        form_field.children = [
            FormField(
                f"{path}.{index}",
                str(item.get("name") or item.get("id") or index + 1),
                "group",
                errors=errors.get(f"{path}.{index}", []),
                children=_group_fields(f"{path}.{index}.", item_kind, item, errors),
            )
            for index, item in enumerate(items)
            if isinstance(item, dict)
        ]
        return
    form_field.kind = "lines"
    form_field.value = "\n".join(map(str, items))
    form_field.errors = form_field.errors + [
        message for index in range(len(items)) for message in errors.get(f"{path}.{index}", [])
    ]


def _read_group(prefix, kind, values):
    raw = {}
    for item in kind.fields:
        path = f"{prefix}{item.name}"
        value = _read_value(path, _without_constraints(item.type), values)
        if value is not None:
            raw[item.name] = value
    return raw


def _read_value(path, kind, values):
    """Return the value of a field, or None if it was left empty."""
    if isinstance(kind, msgspec.inspect.StructType):
        return _read_group(f"{path}.", kind, values)
    if isinstance(kind, msgspec.inspect.ListType):
        return _read_list(path, _without_constraints(kind.item_type), values)
    if isinstance(kind, msgspec.inspect.BoolType):
        return values.get(path) == "true"
    text = values.get(path, "").strip()
    if not text:
        return None
    numeric = isinstance(
        kind, msgspec.inspect.IntType | msgspec.inspect.FloatType | msgspec.inspect.LiteralType
    )
    return _parse_number(text) if numeric else text


def _read_list(path, item_kind, values):
    if not isinstance(item_kind, msgspec.inspect.StructType):
        lines = [line.strip() for line in values.get(path, "").splitlines() if line.strip()]
        if isinstance(item_kind, msgspec.inspect.IntType):
            return [_parse_number(line) for line in lines]
        return lines
    pattern = re.compile(re.escape(path) + r"\.(\d+)\.")
    indexes = {int(match[1]) for name in values if (match := pattern.match(name))}
    return [
        _read_group(f"{path}.{index}.", item_kind, values)
        for index in sorted(indexes)[:MAX_LIST_ITEMS]
    ]


def _parse_number(text):
    """Return the number, or the text itself so that validation reports the field's path."""
    for convert in (int, float):
        try:
            number = convert(text)
        except ValueError:
            continue
        return number if number == number and abs(number) != float("inf") else text
    return text
