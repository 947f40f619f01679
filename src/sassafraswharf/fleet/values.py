"""Upstreams and key ranges of the fleet, as replicated and as sent to routers."""

from __future__ import annotations

from typing import NamedTuple


KEY_COUNT = 65_536
"""Keys of a service are numbers below this."""


class Instance(NamedTuple):
    """One life of an upstream.

    An upstream that restarts under its old name holds nothing of its earlier
    life, so ``born``, its start in milliseconds since the epoch, is part of the
    identity.
    """

    name: str
    started_ms: int


NO_INSTANCE = Instance("", 0)


class Upstream(NamedTuple):
    """An upstream that serves requests through the router beside it.

    ``router`` is the IP address of that router. ``slots`` is the number of
    requests that it runs at a time. One that is ``draining`` leaves; the router of
    one that is ``restarting`` is stopped and will be back in a moment.
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
        """Return whether new work and keys may be given to the upstream."""
        return not self.draining and not self.restarting


class KeyRow(NamedTuple):
    """Consecutive keys and their owner.

    ``fence`` grows with each change of the owner. ``handover`` is the token of
    the previous owner that makes the keys warm, empty where there is none.
    ``target`` is the next owner while the present one is asked to release, and
    ``asked`` the log index at which it was asked.
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
        """Return whether the owner is to release the keys."""
        return self.target != NO_INSTANCE

    @property
    def is_free(self) -> bool:
        """Return whether nobody owns the keys."""
        return self.owner == NO_INSTANCE


class ServiceRows(NamedTuple):
    """Rows of one keyed service, sorted; all of them or those that changed."""

    service: str
    rows: tuple[KeyRow, ...]


class FleetChange(NamedTuple):
    """A step from one version of the fleet to a later one.

    ``rows`` take the place of what the table says of their keys. A row with
    fence 0 gets the log index of the change as its fence, one with a new target as
    the index at which its owner was asked. With ``is_whole`` the change replaces
    the table.
    """

    upstreams: tuple[Upstream, ...] = ()
    removed: tuple[Instance, ...] = ()
    rows: tuple[ServiceRows, ...] = ()
    reason: str = ""
    is_whole: bool = False
