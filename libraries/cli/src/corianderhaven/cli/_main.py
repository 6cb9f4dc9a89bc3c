"""Entry point of the command-line tool.

Exit codes: 0 success; 1 failure; 2 invalid settings or usage; 3 conflict with another change;
4 unknown outcome, to be repeated under the same change id; 5 invalid document.
"""

from corianderhaven.common import (
    CorianderhavenError,
    ErrorCode,
    Outcome,
    TransportError,
    run_program,
)

from . import _config_commands as config_commands
from . import _site_commands as site_commands
from ._check_command import check
from ._load_command import load
from ._loss_report import losses
from ._output import (
    EXIT_CONFLICT,
    EXIT_FAILURE,
    EXIT_INVALID,
    EXIT_UNKNOWN,
    print_error,
)
from ._parts_command import parts
from ._run_plot import picture

COMMANDS = {
    "config": {
        "validate": config_commands.validate,
        "check": check,
        "apply": config_commands.apply,
        "show": config_commands.show,
        "diff": config_commands.diff,
        "schema": config_commands.schema,
        "key": config_commands.make_bearer_key,
    },
    "status": site_commands.status,
    "replicas": site_commands.replicas,
    "vms": site_commands.vms,
    "why": site_commands.why,
    "drain": site_commands.drain,
    "parts": parts,
    "load": load,
    "losses": losses,
    "picture": picture,
}
INVALID_CODES = (
    ErrorCode.INVALID_DOCUMENT,
    ErrorCode.MALFORMED_JSON,
    ErrorCode.INVALID_REQUEST,
)


def main(arguments=None):
    """Run the tool and return its exit code."""
    try:
        return run_program(COMMANDS, "CORIANDERHAVEN_", arguments)
    except CorianderhavenError as error:
        print_error(error)
        return exit_code(error)
    except TransportError as error:
        print(f"error: {error}")
        return EXIT_FAILURE


def exit_code(error):
    """Return the exit code of a `CorianderhavenError`."""
    if error.code is ErrorCode.REVISION_CONFLICT:
        return EXIT_CONFLICT
    if error.code in INVALID_CODES:
        return EXIT_INVALID
    if error.outcome is Outcome.UNKNOWN:
        return EXIT_UNKNOWN
    return EXIT_FAILURE
