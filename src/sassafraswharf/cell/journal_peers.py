"""The choice of journal peers for a session."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash


if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafraswharf.identifiers import SessionId
    from sassafraswharf.membership.values import Session


PEER_COUNT = 2


def choose_peers(
    session: Session, others: Sequence[Session], keep: Sequence[SessionId] = ()
) -> tuple[SessionId, ...]:
    """Return up to two peers, in other availability zones where there are any.

    Peers in ``keep`` stay if they are among ``others`` and no zone is gained
    by replacing them. The rest is chosen by rendezvous hashing, so the loss of
    a host changes only the sets it belonged to.
    """
    candidates = sorted(
        (other for other in others if other.host != session.host),
        key=lambda other: (other.session not in keep, -_score(session, other)),
    )
    chosen: list[Session] = []
    zones = {session.zone}
    while candidates and len(chosen) < PEER_COUNT:
        peer = next((c for c in candidates if c.zone not in zones), None)
        if peer is None:
            elsewhere = (c for c in candidates if c.zone != session.zone)
            peer = next(elsewhere, candidates[0])
        candidates.remove(peer)
        chosen.append(peer)
        zones.add(peer.zone)
    return tuple(sorted(peer.session for peer in chosen))


def _score(session: Session, other: Session) -> int:
    pair = f"{session.host}|{other.host}|{other.session}"
    return xxhash.xxh64_intdigest(pair.encode())
