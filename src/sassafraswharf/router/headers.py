"""HTTP header names that the router reads and writes, and header filtering."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final


if TYPE_CHECKING:
    from collections.abc import Iterable


PREFIX: Final = "sassafraswharf-"
"""In lower case, since header names are case-insensitive."""
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
"""Values of the ``UPSTREAM`` header in the answer of another router."""

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
"""Hop-by-hop headers (RFC 9110, section 7.6.1), and the content length, which the
sender recomputes."""

SINGLE_VALUED: Final = ("Host", "Content-Length", IDEMPOTENCY_KEY, DEADLINE_MS)
"""Headers that make a request ambiguous if they occur more than once."""


def end_to_end(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers to forward, without hop-by-hop and internal headers.

    Names become plain strings, because answers are encoded into the journal.
    """
    return [
        (str(name), value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP and not name.lower().startswith(PREFIX)
    ]
