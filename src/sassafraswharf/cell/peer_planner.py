"""Plans changes of journal sets on the leader, with bounded work per call."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafraswharf.cell.commands import SetJournalPeers
from sassafraswharf.cell.journal_peers import PEER_COUNT
from sassafraswharf.cell.journal_peers import choose_peers


if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from sassafraswharf.identifiers import SessionId
    from sassafraswharf.membership.values import Session


MAX_PAIRS_PER_CALL = 8_192
"""Hashing a pair of sessions blocks the leader's event loop for about 1 µs."""


class PeerPlanner:
    """Caches which sessions have the best available journal set.

    A session is checked again when its own set changes or when any session
    opens or ends.
    """

    def __init__(self) -> None:
        self._live: frozenset[SessionId] = frozenset()
        self._optimal_peers: dict[SessionId, tuple[SessionId, ...]] = {}

    def plan(self, live: Sequence[Session], at: float) -> list[SetJournalPeers]:
        """Return the changes of journal sets; sets that lack a member come first.

        ``live`` are the open sessions, ``at`` is wall-clock time.
        """
        zones = {session.session: session.zone for session in live}
        if zones.keys() != self._live:
            self._live = frozenset(zones)
            self._optimal_peers.clear()
        waiting = [
            (session, current)
            for session in live
            if self._optimal_peers.get(session.session)
            != (current := newest_peers(session))
        ]
        waiting.sort(key=lambda item: _is_complete(item[0], item[1], zones))
        commands: list[SetJournalPeers] = []
        pairs = 0
        for session, current in waiting:
            if not _spans_enough_zones(session, current, zones):
                if pairs >= MAX_PAIRS_PER_CALL:
                    break
                pairs += len(live)
                peers = choose_peers(session, live, current)
                generation = max(session.generation, session.pending_generation)
                if peers != current or not generation:
                    commands.append(
                        SetJournalPeers(session.session, generation + 1, peers, at)
                    )
                current = peers
            self._optimal_peers[session.session] = current
        return commands


def newest_peers(session: Session) -> tuple[SessionId, ...]:
    """Return the pending journal set, or the active one if none is pending."""
    if session.pending_generation:
        return session.pending_peers
    return session.peers


def _is_complete(
    session: Session, current: tuple[SessionId, ...], zones: Mapping[SessionId, str]
) -> bool:
    has_set = bool(session.generation or session.pending_generation)
    return has_set and all(peer in zones for peer in current)


def _spans_enough_zones(
    session: Session, current: tuple[SessionId, ...], zones: Mapping[SessionId, str]
) -> bool:
    if not (session.generation or session.pending_generation):
        return False
    peer_zones = {zones[peer] for peer in current if peer in zones}
    return len(peer_zones - {session.zone}) == PEER_COUNT
