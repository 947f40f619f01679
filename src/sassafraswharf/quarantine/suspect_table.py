"""The cell's replicated table of suspected and convicted requests."""

# msgspec resolves the annotations of decoded values at runtime.
# ruff: noqa: TC001

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from sassafraswharf.change_tracking_dict import ChangeTrackingDict
from sassafraswharf.identifiers import SessionId
from sassafraswharf.identifiers import UpstreamId


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence


CONVICTION_S = 600.0
SUSPICION_S = 600.0
MAX_SUSPECTS = 4_096
MAX_REPORTED_CRASHES = 1_024
MAX_SOLO_RESERVATIONS = 1_024


class Suspect(NamedTuple):
    """A request, by its digest, that was running when an upstream crashed.

    ``convicted_until`` is 0.0 while the request is only suspected. Times are
    wall-clock seconds.
    """

    digest: bytes
    crashes: int
    last_crash_at: float
    convicted_until: float
    released: bool


class Conviction(NamedTuple):
    """A request that is refused on all routers until ``expires_at``."""

    digest: bytes
    expires_at: float


class ReportedCrash(NamedTuple):
    """A crash that was counted; resent reports of it are ignored."""

    upstream: UpstreamId
    incarnation: int


class SoloReservation(NamedTuple):
    """The session that may run a suspect alone until it expires."""

    digest: bytes
    session: SessionId
    expires_at: float


class SuspectTable:
    """Counts crashes per request; deterministic, part of the cell's state.

    The first crash makes every request that was running a suspect. A later
    crash convicts a suspect only if it ran alone.
    """

    def __init__(
        self,
        suspects: Iterable[Suspect] = (),
        reported_crashes: Iterable[ReportedCrash] = (),
        solo_reservations: Iterable[SoloReservation] = (),
    ) -> None:
        self.suspects = ChangeTrackingDict((value.digest, value) for value in suspects)
        self.reported_crashes = dict.fromkeys(reported_crashes)
        self.solo_reservations = {solo.digest: solo for solo in solo_reservations}

    def report_crash(
        self, crash: ReportedCrash, digests: Sequence[bytes], alone: bool, at: float
    ) -> list[bytes]:
        """Count a crash and return the digests whose state changed."""
        if crash in self.reported_crashes:
            return []
        self.reported_crashes[crash] = None
        while len(self.reported_crashes) > MAX_REPORTED_CRASHES:
            del self.reported_crashes[next(iter(self.reported_crashes))]
        ran_alone = alone and len(digests) == 1
        unique = list(dict.fromkeys(digests))
        for digest in unique:
            self.solo_reservations.pop(digest, None)
            self._count_crash(digest, ran_alone, at)
        self._evict_suspects()
        return unique

    def reserve_solo_run(
        self, digest: bytes, session: SessionId, seconds: float, at: float
    ) -> bool:
        """Reserve the solo run of a request for one session.

        A crash report, ``clear`` or the time limit of at most 600 s ends the
        reservation. The digest need not be a suspect in this table, because a
        router suspects a request before its crash report reaches the cell.
        """
        suspect = self.suspects.get(digest)
        solo = self.solo_reservations.get(digest)
        taken = solo is not None and solo.session != session and solo.expires_at > at
        is_full = solo is None and len(self.solo_reservations) >= MAX_SOLO_RESERVATIONS
        if taken or is_full or (suspect is not None and suspect.convicted_until):
            return False
        self.solo_reservations[digest] = SoloReservation(
            digest, session, at + min(seconds, SUSPICION_S)
        )
        return True

    def clear(self, digest: bytes) -> bool:
        """Remove a suspect that ran alone without a crash."""
        self.solo_reservations.pop(digest, None)
        suspect = self.suspects.get(digest)
        if suspect is None or suspect.convicted_until:
            return False
        del self.suspects[digest]
        return True

    def release(self, digest: bytes) -> bool:
        """End a conviction; the request runs alone the next time."""
        suspect = self.suspects.get(digest)
        if suspect is None or not suspect.convicted_until:
            return False
        self.suspects[digest] = suspect._replace(
            crashes=0, convicted_until=0.0, released=True
        )
        return True

    def expire(self, at: float) -> list[bytes]:
        """Drop convictions and suspicions that have ended, and return them."""
        for solo in [
            solo for solo in self.solo_reservations.values() if solo.expires_at <= at
        ]:
            del self.solo_reservations[solo.digest]
        over = [
            digest
            for digest, suspect in self.suspects.items()
            if _expires_at(suspect) <= at
        ]
        for digest in over:
            del self.suspects[digest]
        return over

    def convictions(self) -> tuple[Conviction, ...]:
        """Return the convicted requests."""
        return tuple(
            Conviction(suspect.digest, suspect.convicted_until)
            for suspect in self.suspects.values()
            if suspect.convicted_until
        )

    def suspected(self) -> tuple[bytes, ...]:
        """Return the digests of requests that must run alone."""
        return tuple(
            suspect.digest
            for suspect in self.suspects.values()
            if not suspect.convicted_until
        )

    def _count_crash(self, digest: bytes, alone: bool, at: float) -> None:
        suspect = self.suspects.get(digest)
        if suspect is None:
            suspect = Suspect(digest, 0, at, 0.0, False)
        else:
            # Reinserted at the end, so that the oldest suspect is dropped first.
            del self.suspects[digest]
        convicted_until = suspect.convicted_until
        if alone and suspect.crashes and not convicted_until:
            convicted_until = at + CONVICTION_S
        self.suspects[digest] = suspect._replace(
            crashes=suspect.crashes + 1,
            last_crash_at=at,
            convicted_until=convicted_until,
        )

    def _evict_suspects(self) -> None:
        excess = len(self.suspects) - MAX_SUSPECTS
        if excess <= 0:
            return
        oldest = [d for d, s in self.suspects.items() if not s.convicted_until]
        for digest in oldest[:excess]:
            del self.suspects[digest]


def _expires_at(suspect: Suspect) -> float:
    return suspect.convicted_until or suspect.last_crash_at + SUSPICION_S
