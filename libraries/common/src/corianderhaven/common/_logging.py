"""Structured logs and the decision log."""

import sys
import threading
from collections import deque

import msgspec
from loguru import logger

DECISION_LOG_LENGTH = 4000


def _json_sink(message):
    record = message.record
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "event": record["message"],
        **record["extra"],
    }
    sys.stderr.write(msgspec.json.encode(line, enc_hook=str).decode() + "\n")


def _format_text(record):
    fields = " ".join(f"{key}={value}" for key, value in record["extra"].items())
    record["extra"]["_fields"] = fields
    return "{time:HH:mm:ss.SSS} {level} {message} {extra[_fields]}\n{exception}"


def configure_queued_logging(writer, level="INFO"):
    """Send log records as JSON lines to a `LogWriter`.

    Parameters
    ----------
    writer : LogWriter
        Takes over the lines.
    level : str
        Least level that is written.
    """

    def sink(message):
        record = message.record
        line = {
            "time": record["time"].timestamp(),
            "level": record["level"].name,
            "event": record["message"],
            **record["extra"],
        }
        writer.write(msgspec.json.encode(line, enc_hook=str) + b"\n")

    logger.remove()
    logger.add(sink, level=level, format="{message}", catch=True)


def configure_logging(log_format="text", level="INFO"):
    """Send log records to standard error.

    Parameters
    ----------
    log_format : {"text", "json"}
        One line a record in either format.
    level : str
        Least level that is written.
    """
    logger.remove()
    if log_format == "json":
        logger.add(_json_sink, level=level)
    else:
        logger.add(sys.stderr, format=_format_text, level=level)


class DecisionLog:
    """Writes a log line for each decision and keeps the latest for ``why``.

    Parameters
    ----------
    clock : Clock
        Source of the wall-clock time of each decision.
    length : int
        Number of decisions kept in memory.
    """

    def __init__(self, clock, length=DECISION_LOG_LENGTH):
        self.clock = clock
        self.length = length
        self.entries = deque(maxlen=length)
        self.lock = threading.Lock()

    def record(self, event, **fields):
        """Log the decision `event` with its facts and remember it."""
        entry = {"at_ms": self.clock.wall_ms(), "event": event, **fields}
        with self.lock:
            self.entries.append(entry)
        logger.bind(**fields).info(event)

    def find(self, subject):
        """Return the remembered decisions that name `subject` in any field."""
        with self.lock:
            entries = list(self.entries)
        return [entry for entry in entries if _mentions(entry, subject)]


def _mentions(value, subject):
    if isinstance(value, dict):
        return any(_mentions(item, subject) for item in value.values())
    if isinstance(value, list | tuple | set):
        return any(_mentions(item, subject) for item in value)
    return value == subject
