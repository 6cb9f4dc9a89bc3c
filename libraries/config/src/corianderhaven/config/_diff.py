"""Changes between two configuration documents."""

from dataclasses import dataclass

import msgspec


@dataclass(frozen=True)
class Change:
    """A changed value.

    Attributes
    ----------
    path : str
        JSON path of the value, for example ``$.deployments[drafts].version``.
    before, after : object
        Old and new JSON value; None where the value is absent.
    """

    path: str
    before: object
    after: object


def diff_documents(before, after):
    """List the changes between two documents.

    Parameters
    ----------
    before, after : Document or None

    Returns
    -------
    list of Change
        One entry per changed value; list items that have a name are matched by it.
    """
    return compare_values(_to_builtins(before), _to_builtins(after))


def compare_values(before, after):
    """List the changes between two JSON values, like `diff_documents`.

    Parameters
    ----------
    before, after : dict
    """
    return list(_compare("$", before, after))


def _to_builtins(document):
    return {} if document is None else msgspec.to_builtins(document)


def _compare(path, before, after):
    if before == after:
        return
    before_children = _children(before)
    after_children = _children(after)
    if before_children is None or after_children is None:
        yield Change(path, before, after)
        return
    for key in [*before_children, *(key for key in after_children if key not in before_children)]:
        yield from _compare(path + key, before_children.get(key), after_children.get(key))


def _children(value):
    if isinstance(value, dict):
        return {f".{key}": item for key, item in value.items()}
    named = (
        isinstance(value, list | tuple)
        and value
        and all(isinstance(item, dict) and "name" in item for item in value)
    )
    return {f"[{item['name']}]": item for item in value} if named else None
