"""Settings from flags over environment variables over defaults."""

import inspect
import ipaddress
import os
import sys

import defopt

from .exceptions import SettingsError

EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_USAGE = 2
HIGHEST_PORT = 65535


def _environment_arguments(function, prefix, arguments):
    """Return flags for settings that come from the environment and not from `arguments`."""
    given = {argument.split("=")[0] for argument in arguments if argument.startswith("--")}
    extra = []
    for name, parameter in inspect.signature(function).parameters.items():
        flag = "--" + name.replace("_", "-")
        value = os.environ.get(prefix + name.upper())
        if parameter.kind is not parameter.KEYWORD_ONLY or value is None or flag in given:
            continue
        if parameter.annotation is bool:
            extra.append(flag if value.lower() in ("1", "true", "yes") else "--no-" + flag[2:])
        elif str(parameter.annotation).startswith("list"):
            extra.extend([flag, *value.split(",")])
        else:
            extra.extend([flag, value])
    return extra


def _selected_function(functions, arguments):
    """Return how many words choose the subcommand, and its function if there is one."""
    words = 0
    while isinstance(functions, dict):
        if words == len(arguments) or arguments[words] not in functions:
            return words, None
        functions = functions[arguments[words]]
        words += 1
    return words, functions


def run_program(functions, prefix, arguments=None):
    """Run a command-line function with flags over environment variables.

    Parameters
    ----------
    functions : callable or dict
        One function, or functions by subcommand, nested; keyword-only parameters become flags.
    prefix : str
        Prefix of the environment variables, for example ``CORIANDERHAVEN_``.
    arguments : list of str or None
        Command-line arguments without the program name.

    Returns
    -------
    int
        Exit code: 0 success, 1 failure, 2 wrong settings.
    """
    arguments = list(sys.argv[1:] if arguments is None else arguments)
    words, function = _selected_function(functions, arguments)
    extra = []
    if function is not None:
        extra = _environment_arguments(function, prefix, arguments)
    argv = [*arguments[:words], *extra, *arguments[words:]]
    try:
        result = defopt.run(functions, argv=argv, no_negated_flags=False)
    except SettingsError as error:
        print(f"error: {error}", file=sys.stderr)
        return EXIT_USAGE
    return EXIT_OK if result is None else int(result)


def check_positive(name, value):
    """Raise `SettingsError` unless `value` is above zero."""
    if value <= 0:
        raise SettingsError(f"{name} must be above zero, not {value}")


def check_address(name, address):
    """Raise `SettingsError` unless `address` is an IP number and a port.

    Parameters
    ----------
    name : str
        Name of the setting, for the message.
    address : str
        ``IP:port``.
    """
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise SettingsError(f"{name} must be IP:port, not {address!r}")
    if not port.isdigit() or int(port) > HIGHEST_PORT:
        raise SettingsError(f"{name} has no valid port: {address!r}")
