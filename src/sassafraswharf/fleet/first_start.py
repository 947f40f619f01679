"""Records in the data folder that a host took part in the first start."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Final

from sassafraswharf.codes import ResultCode
from sassafraswharf.consensus.files import replace_file
from sassafraswharf.exceptions import StorageError
from sassafraswharf.failure import Failure


if TYPE_CHECKING:
    from pathlib import Path


FIRST_START_MARKER: Final = "first-start"


def record_first_start(folder: Path, first_start: bool) -> bool:
    """Return whether this data folder existed at the first start of the fleet.

    A process that is restarted before the group was bootstrapped is no longer told
    that this is the first start, but the marker in its folder still shows it. A
    folder that was lost since then has no marker.

    Raises ``StorageError`` when the folder can't be written.
    """
    marker = folder / FIRST_START_MARKER
    try:
        if first_start and not marker.exists():
            folder.mkdir(parents=True, exist_ok=True)
            replace_file(marker, b"")
        return marker.exists()
    except OSError as error:
        failure = Failure(ResultCode.STORAGE_FAILED, f"{folder}: {error}")
        raise StorageError(failure) from error
