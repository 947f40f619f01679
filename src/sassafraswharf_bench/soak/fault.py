"""One fault of a schedule, as it is written to a file and read again."""

from __future__ import annotations

import json

from typing import NamedTuple


class Fault(NamedTuple):
    """A fault at an instant of the run.

    ``target`` is a machine, empty for faults that concern the configuration.
    ``length_s`` is how long the fault lasts or how long the target stays away.

    >>> Fault.parse(Fault(1.5, "kill", "side-0", 0.5).line())
    Fault(at_s=1.5, kind='kill', target='side-0', length_s=0.5)
    """

    at_s: float
    kind: str
    target: str = ""
    length_s: float = 0.0

    def line(self) -> str:
        """Return the line of this fault."""
        return json.dumps(self._asdict())

    @classmethod
    def parse(cls, line: str) -> Fault:
        """Return the fault of a line; raises ``ValueError`` or ``TypeError``."""
        return cls(**json.loads(line))
