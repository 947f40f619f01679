"""The provider's names of headers, paths and the settings variable."""

from __future__ import annotations

from typing import Final

from sassafraswharf.gateway.work import HeaderNames


SETTINGS_VARIABLE: Final = "SASSAFRASWHARF_BOOT"

HEADER_NAMES: Final = HeaderNames(
    request_id="Request-Id",
    deadline_ms="Deadline-Ms",
    instance="Expect-Instance",
    origin="Caller-Service",
    not_run="Not-Executed",
    signature="Response-Signature",
    key="Shard-Key",
)

READY_PATH: Final = "/sassafraswharf/readyz"
HEARTBEAT_PATH: Final = "/sassafraswharf/Endpoints.Heartbeat/"
LEAVE_PATH: Final = "/sassafraswharf/Endpoints.Deregister/"
REPLACE_PATH: Final = "/sassafraswharf/Config.Replace"
PATCH_PATH: Final = "/sassafraswharf/Config.Patch"
READ_PATH: Final = "/sassafraswharf/Config.Get"
GRANT_PATH: Final = "/sassafraswharf/grant"
RELEASE_PATH: Final = "/sassafraswharf/release"
HANDOVER_HEADER: Final = "Handover"
