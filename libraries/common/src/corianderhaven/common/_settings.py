"""Settings from command-line flags, environment variables and defaults, in that order."""

import inspect
import ipaddress
import os
import sys

import defopt

from .exceptions import SettingsError

EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_USAGE = 2
MAX_PORT = 65535


def _flags_from_environment(function, prefix, arguments):
    """Return flags for settings that are in the environment but not in `arguments`."""
    given = {argument.split("=")[0] for argument in arguments if argument.startswith("--")}
    environment_flags = []
    for name, parameter in inspect.signature(function).parameters.items():
        flag = "--" + name.replace("_", "-")
        value = os.environ.get(prefix + name.upper())
        if parameter.kind is not parameter.KEYWORD_ONLY or value is None or flag in given:
            continue
        if parameter.annotation is bool:
            environment_flags.append(
                flag if value.lower() in ("1", "true", "yes") else "--no-" + flag[2:]
            )
        elif str(parameter.annotation).startswith("list"):
            environment_flags.extend([flag, *value.split(",")])
        else:
            environment_flags.extend([flag, value])
    return environment_flags


def _select_function(functions, arguments):
    """Return the number of subcommand words and the subcommand's function, or None."""
    command_words = 0
    while isinstance(functions, dict):
        if command_words == len(arguments) or arguments[command_words] not in functions:
            return command_words, None
        functions = functions[arguments[command_words]]
        command_words += 1
    return command_words, functions


def run_program(functions, prefix, arguments=None):
    """Run a command-line function; flags take precedence over environment variables.

    Parameters
    ----------
    functions : callable or dict
        A function, or a nested mapping of subcommands to functions; keyword-only parameters
        become flags.
    prefix : str
        Prefix of the environment variables, for example ``CORIANDERHAVEN_``.
    arguments : list of str or None
        Command-line arguments without the program name.

    Returns
    -------
    int
        Exit code: 0 for success, 1 for failure, 2 for invalid settings.
    """
    arguments = list(sys.argv[1:] if arguments is None else arguments)
    command_words, function = _select_function(functions, arguments)
    environment_flags = []
    if function is not None:
        environment_flags = _flags_from_environment(function, prefix, arguments)
    argv = [*arguments[:command_words], *environment_flags, *arguments[command_words:]]
    try:
        result = defopt.run(functions, argv=argv, no_negated_flags=False)
    except SettingsError as error:
        print(f"error: {error}", file=sys.stderr)
        return EXIT_USAGE
    return EXIT_OK if result is None else int(result)


def check_positive(name, value):
    """Raise `SettingsError` unless `value` is positive."""
    if value <= 0:
        raise SettingsError(f"{name} must be above zero, not {value}")


def check_address(name, address):
    """Raise `SettingsError` unless `address` is an IP address with a port.

    Parameters
    ----------
    name : str
        Name of the setting, used in the error message.
    address : str
        ``IP:port``.
    """
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise SettingsError(f"{name} must be IP:port, not {address!r}")
    if not (port.isascii() and port.isdigit()) or int(port) > MAX_PORT:
        raise SettingsError(f"{name} has no valid port: {address!r}")
