"""The configuration in force on a router."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err
from result import Ok
from result import Result

from sassafraswharf.configuration.validation import decode_document


if TYPE_CHECKING:
    from sassafraswharf.configuration.documents import DeploymentDocument
    from sassafraswharf.failure import Failure


class RevisionHolder:
    """Holds the newest revision that the process has seen, in memory only.

    A router that missed changes needs only the newest document, however many
    revisions lie between.
    """

    def __init__(self) -> None:
        """Start at revision 0, which is older than every accepted change."""
        self.revision = 0
        self.document: DeploymentDocument | None = None

    def accept(self, revision: int, data: bytes) -> Result[bool, Failure]:
        """Put a newer revision in force and return whether it was newer.

        An invalid document is rejected with code 2003 and leaves the revision in
        force unchanged.
        """
        if not self.is_newer(revision):
            return Ok(False)
        decoded = decode_document(data)
        if isinstance(decoded, Err):
            return decoded
        self.revision = revision
        self.document = decoded.ok_value
        return Ok(True)

    def is_newer(self, revision: int) -> bool:
        """Return whether a revision is newer than the one in force."""
        return revision > self.revision
