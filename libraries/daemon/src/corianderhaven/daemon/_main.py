"""The corianderhavend program."""

import signal

from loguru import logger

from corianderhaven.common import (
    MS_PER_S,
    LogWriter,
    SettingsError,
    configure_logging,
    configure_queued_logging,
    run_program,
)

SIGNAL_CHECK_MS = 200.0  # shorter than the time a load balancer needs to notice a drain


def serve(
    *,
    name: str = "",
    zone: str = "",
    callers: str = "",
    peers: str = "",
    platform: str = "",
    secret: str = "",
    seeds: list[str] = (),
    bootstrap_key: str = "",
    source_ip: str = "",
    caller_threads: int = 300,
    drain_notice_ms: int = 3000,
    drain_bound_ms: int = 130000,
    chooser: str = "least-wait",
    repair_policy: str = "weighed",
    resume: bool = True,
    fairness: bool = True,
    seed: int = 0,
    node_file: str = "",
    weigh_prompts: bool = False,
    log_format: str = "json",
    log_level: str = "INFO",
):
    """Run one daemon until SIGTERM, SIGINT or an operator's drain.

    Each flag can also be given as an environment variable CORIANDERHAVEN_NAME and so on.

    :param name: this VM's name in the platform's list
    :param zone: this VM's availability zone
    :param callers: IP:port of the callers' listener
    :param peers: IP:port of the listener for peers and operators
    :param platform: IP:port of the platform's key-value service and VM list
    :param secret: shared by all daemons of the site, at least 16 characters
    :param seeds: peer addresses to contact besides listed ones, for a start without the platform
    :param bootstrap_key: operator key that is valid until operators are configured
    :param source_ip: local IP address of outgoing connections
    :param caller_threads: maximum number of concurrent callers
    :param drain_notice_ms: time for the load balancer to notice a drain
    :param drain_bound_ms: maximum time for requests in flight to finish
    :param chooser: least-wait, no-affinity or random
    :param repair_policy: weighed, always-wait, always-dissolve or greedy
    :param resume: resume interrupted drafts
    :param fairness: weighted fair sharing between client accounts
    :param seed: seed of the random generator, 0 for an unseeded one
    :param node_file: settings file of a VM whose platform keeps endpoints in its store;
        of the other settings, only weigh_prompts and log_level apply then
    :param weigh_prompts: with node_file, choose heads also by the prompt tokens that they have to
        prefill, so that long prompts delay short ones less
    :param log_format: json or text
    :param log_level: minimum level that is logged
    """
    if log_format not in ("json", "text"):
        raise SettingsError(f"log_format must be json or text, not {log_format!r}")
    if node_file:
        return _serve_node_file(node_file, log_level, weigh_prompts)
    configure_logging(log_format, log_level)
    # Imported here, because loading both kinds of daemon takes twice the memory.
    from ._daemon import Daemon
    from ._settings import Settings

    daemon = Daemon(
        Settings(
            name,
            zone,
            callers,
            peers,
            platform,
            secret,
            list(seeds),
            bootstrap_key,
            source_ip,
            caller_threads,
            drain_notice_ms,
            drain_bound_ms,
            chooser,
            repair_policy,
            resume,
            fairness,
            seed,
        )
    )
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: daemon.request_drain())
    try:
        daemon.start()
    except OSError as error:
        raise SettingsError(f"cannot listen on {callers} and {peers}: {error}")
    # Handlers run only in the main thread, and a signal delivered to another thread does not
    # wake a main thread that waits without a timeout.
    while not daemon.drain_requested.wait(SIGNAL_CHECK_MS / MS_PER_S):
        continue
    finished = daemon.drain()
    daemon.close()
    logger.info("daemon_stopped")
    return 0 if finished else 1


def _serve_node_file(node_file, log_level, weigh_prompts):
    from ._fleet_daemon import serve_node_file

    writer = LogWriter().start()
    configure_queued_logging(writer, log_level)
    try:
        return serve_node_file(node_file, weigh_prompts)
    finally:
        writer.close()


def main(arguments=None):
    """Run the program and return its exit code."""
    return run_program(serve, "CORIANDERHAVEN_", arguments)
