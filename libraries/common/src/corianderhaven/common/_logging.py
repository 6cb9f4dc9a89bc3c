"""Structured logging and the decision log."""

import sys
import threading
import traceback
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
    text = msgspec.json.encode(_with_traceback(line, record), enc_hook=str).decode()
    sys.stderr.write(text + "\n")


def _with_traceback(line, record):
    """Add the traceback of a logged exception to its line."""
    exception = record["exception"]
    if exception is not None:
        line["traceback"] = "".join(traceback.format_exception(*exception))
    return line


def _format_text(record):
    fields = " ".join(f"{key}={value}" for key, value in record["extra"].items())
    record["extra"]["_fields"] = fields
    return "{time:HH:mm:ss.SSS} {level} {message} {extra[_fields]}\n{exception}"


def configure_queued_logging(writer, level="INFO"):
    """Configure loguru to queue log records as JSON lines on a `LogWriter`.

    Parameters
    ----------
    writer : LogWriter
        Writer that receives the lines.
    level : str
        Minimum level that is logged.
    """

    def sink(message):
        record = message.record
        line = {
            "time": record["time"].timestamp(),
            "level": record["level"].name,
            "event": record["message"],
            **record["extra"],
        }
        writer.write(msgspec.json.encode(_with_traceback(line, record), enc_hook=str) + b"\n")

    logger.remove()
    logger.add(sink, level=level, format="{message}", catch=True)


def configure_logging(log_format="text", level="INFO"):
    """Configure loguru to write log records to standard error.

    Parameters
    ----------
    log_format : {"text", "json"}
        Output format, with one line per record; ``text`` appends the traceback of an exception.
    level : str
        Minimum level that is logged.
    """
    logger.remove()
    if log_format == "json":
        logger.add(_json_sink, level=level)
    else:
        logger.add(sys.stderr, format=_format_text, level=level)


class DecisionLog:
    """Logs each decision and keeps the most recent ones for the ``why`` command.

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
        """Log the decision `event` with `fields` and keep it in memory."""
        entry = {"at_ms": self.clock.wall_ms(), "event": event, **fields}
        with self.lock:
            self.entries.append(entry)
        logger.bind(**fields).info(event)

    def find(self, subject):
        """Return the kept decisions that contain `subject` as a value in any field."""
        with self.lock:
            entries = list(self.entries)
        return [entry for entry in entries if _contains(entry, subject)]


def _contains(value, subject):
    if isinstance(value, dict):
        return any(_contains(item, subject) for item in value.values())
    if isinstance(value, list | tuple | set):
        return any(_contains(item, subject) for item in value)
    return value == subject
