"""Output as text or JSON, and exit codes."""

import sys

import msgspec

EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNKNOWN = 4
EXIT_INVALID = 5


def print_json(value):
    """Print a value as indented JSON."""
    print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def print_table(rows, columns):
    """Print dicts as an aligned table.

    Parameters
    ----------
    rows : list of dict
    columns : list of str
        Keys of the dicts to print, also used as headings.
    """
    cells = [columns] + [[_cell(row.get(column)) for column in columns] for row in rows]
    widths = [max(len(line[index]) for line in cells) for index in range(len(columns))]
    for line in cells:
        padded = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        print("  ".join(padded).rstrip())


def _cell(value):
    if isinstance(value, dict):
        return " ".join(f"{key}={item}" for key, item in value.items())
    return "" if value is None else str(value)


def print_error(error):
    """Print a `CorianderhavenError` to standard error, with the error of each field."""
    print(f"error: {error.code.text}: {error.message}", file=sys.stderr)
    for field_error in error.errors:
        print(f"  {field_error.path}: {field_error.message}", file=sys.stderr)
    for change in (error.details or {}).get("differences", ()):
        line = f"  {change['path']}: in force {change['in_force']}, proposed {change['proposed']}"
        print(line, file=sys.stderr)
