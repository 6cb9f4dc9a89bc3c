"""Differences between two documents, by path."""

from dataclasses import dataclass

import msgspec


@dataclass(frozen=True)
class Change:
    """One changed value.

    Attributes
    ----------
    path : str
        For example ``$.deployments[drafts].version``.
    before, after : object
        JSON values; None where the value is absent.
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
        List items with a name are matched by name.
    """
    return list(_walk("$", _plain(before), _plain(after)))


def _plain(document):
    return {} if document is None else msgspec.to_builtins(document)


def _walk(path, before, after):
    if before == after:
        return
    before_items = _items(before)
    after_items = _items(after)
    if before_items is None or after_items is None:
        yield Change(path, before, after)
        return
    for key in [*before_items, *(key for key in after_items if key not in before_items)]:
        yield from _walk(path + key, before_items.get(key), after_items.get(key))


def _items(value):
    if isinstance(value, dict):
        return {f".{key}": item for key, item in value.items()}
    named = (
        isinstance(value, list)
        and value
        and all(isinstance(item, dict) and "name" in item for item in value)
    )
    return {f"[{item['name']}]": item for item in value} if named else None
