"""Upstreams and key ranges, as replicated in the log and as sent to routers."""

from __future__ import annotations

from typing import NamedTuple


KEY_COUNT = 65_536
"""Keys of a service are integers from 0 to this, exclusive."""


class Instance(NamedTuple):
    """One incarnation of an upstream.

    An upstream that restarts under the same name holds none of its earlier keys,
    so ``started_ms``, its start time in milliseconds since the epoch, is part of
    the identity.
    """

    name: str
    started_ms: int


NO_INSTANCE = Instance("", 0)


class Upstream(NamedTuple):
    """An upstream that serves requests through the router beside it.

    ``router`` is the IP address of that router. ``slots`` is the number of
    requests that it runs at a time. A ``draining`` upstream is about to leave; the
    router of a ``restarting`` one is stopped and is expected back soon.
    """

    instance: Instance
    service: str
    host: str
    router: str
    zone: str
    slots: int
    draining: bool
    restarting: bool = False

    @property
    def takes_work(self) -> bool:
        """Return whether new requests and keys may be assigned to the upstream."""
        return not self.draining and not self.restarting


class KeyRow(NamedTuple):
    """Consecutive keys and their owner.

    ``fence`` is a fencing token that grows with each change of the owner.
    ``handover_token`` comes from the previous owner and lets the next one warm up
    the keys; it is empty where there is none. While the keys move, ``target`` is
    the next owner and ``release_requested_at_index`` the log index at which the
    current owner was asked to release them.
    """

    first: int
    last: int
    owner: Instance
    fence: int
    handover_token: str = ""
    target: Instance = NO_INSTANCE
    release_requested_at_index: int = 0

    @property
    def is_moving(self) -> bool:
        """Return whether the owner was asked to release the keys."""
        return self.target != NO_INSTANCE

    @property
    def is_free(self) -> bool:
        """Return whether the keys have no owner."""
        return self.owner == NO_INSTANCE


class ServiceRows(NamedTuple):
    """Sorted rows of one keyed service: all of them or only the changed ones."""

    service: str
    rows: tuple[KeyRow, ...]


class FleetChange(NamedTuple):
    """The difference between two versions of the fleet.

    ``rows`` replace the entries of their keys in the table. The log index of the
    change becomes the fence of a row with fence 0, and the
    ``release_requested_at_index`` of a row with a new target. With ``is_whole``
    the change replaces the whole table.
    """

    upstreams: tuple[Upstream, ...] = ()
    removed: tuple[Instance, ...] = ()
    rows: tuple[ServiceRows, ...] = ()
    reason: str = ""
    is_whole: bool = False

    @property
    def revokes_keys(self) -> bool:
        """Return whether keys lose their owner without the consent of its router."""
        return bool(self.removed) or any(
            row.is_free for service in self.rows for row in service.rows
        )
