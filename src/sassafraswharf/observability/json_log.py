"""Log records as one JSON object per line."""

from __future__ import annotations

import logging as standard_logging

from datetime import UTC
from datetime import datetime

import msgspec

from absl import flags
from absl import logging


VERBOSITY = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


class JsonFormatter(standard_logging.Formatter):
    """Formats a record as JSON with time, level, host, source and message.

    >>> record = standard_logging.LogRecord(
    ...     "absl", standard_logging.INFO, "router.py", 7, "lease lost", None, None
    ... )
    >>> record.created = 0.0
    >>> JsonFormatter("dub-a-1").format(record)
    '{"time":"1970-01-01T00:00:00+00:00","level":"INFO","host":"dub-a-1",\
"source":"router.py:7","message":"lease lost"}'
    """

    def __init__(self, host: str) -> None:
        """Keep the name of the host, which is part of each line."""
        super().__init__()
        self.host = host

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the record as one line of JSON."""
        line = {
            "time": datetime.fromtimestamp(record.created, UTC).isoformat(),
            "level": record.levelname,
            "host": self.host,
            "source": f"{record.filename}:{record.lineno}",
            "message": record.getMessage(),
        }
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line).decode()


def configure_logging(host: str, level: str) -> None:
    """Send all log records of the process to standard error as JSON lines."""
    # The daemon has no absl flags; parsing none of them ends absl's start-up mode.
    flags.FLAGS([host])
    logging.use_absl_handler()
    logging.get_absl_handler().setFormatter(JsonFormatter(host))
    logging.set_verbosity(VERBOSITY[level])
    logging.set_stderrthreshold(VERBOSITY[level])
    standard_logging.getLogger("aiohttp.access").setLevel(standard_logging.WARNING)
