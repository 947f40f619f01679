"""Names of the HTTP headers that the system reads and writes."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final


if TYPE_CHECKING:
    from collections.abc import Iterable


PREFIX: Final = "sassafraswharf-"
"""In lower case, since the names of headers have no case."""
CODE: Final = "Sassafraswharf-Code"
OWNER: Final = "Sassafraswharf-Owner"
NOT_RUN: Final = "Sassafraswharf-Not-Run"
EPOCH: Final = "Sassafraswharf-Epoch"
SLOT: Final = "Sassafraswharf-Slot"
DEADLINE_MS: Final = "Sassafraswharf-Deadline-Ms"
REQUEST_ID: Final = "Sassafraswharf-Request-Id"
HOP: Final = "Sassafraswharf-Hop"
UPSTREAM: Final = "Sassafraswharf-Upstream"
TABLE_VERSION: Final = "Sassafraswharf-Table-Version"
SOLO: Final = "Sassafraswharf-Solo"
NESTED: Final = "Sassafraswharf-Nested"
AUTHENTICATION: Final = "Sassafraswharf-Auth"
IDEMPOTENCY_KEY: Final = "Idempotency-Key"

FAILED: Final = "failed"
CRASHED: Final = "crashed"
"""Values of the upstream header in the answer of another router."""

HOP_BY_HOP: Final = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers of one connection (RFC 9110, section 7.6.1), with the length, which
the sending side computes again."""

SINGLE_VALUED: Final = ("Host", "Content-Length", IDEMPOTENCY_KEY, DEADLINE_MS)
"""Headers that make a request ambiguous when they occur twice."""


def end_to_end(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers to pass on, without those of the system itself.

    Names become plain strings, since answers are stored in the journal.
    """
    return [
        (str(name), value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP and not name.lower().startswith(PREFIX)
    ]
