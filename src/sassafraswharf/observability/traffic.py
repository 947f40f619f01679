"""Counts of messages and their bytes, by kind and by whether they leave the zone."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

    from sassafraswharf.observability.metrics import Metrics

    Count = tuple[int, Mapping[str, str]]


class Flow:
    """What was sent to and received from the peers of one kind.

    Its counts are plain integers, since requests add to them.
    """

    __slots__ = (
        "received_bytes",
        "received_messages",
        "sent_bytes",
        "sent_messages",
    )

    def __init__(self) -> None:
        """Start with nothing counted."""
        self.sent_messages = 0
        self.sent_bytes = 0
        self.received_messages = 0
        self.received_bytes = 0

    def on_sent(self, size: int) -> None:
        """Count one message that is sent."""
        self.sent_messages += 1
        self.sent_bytes += size

    def on_received(self, size: int) -> None:
        """Count one message that has arrived."""
        self.received_messages += 1
        self.received_bytes += size


class Traffic:
    """The flows of one process; traffic between availability zones is billed."""

    def __init__(self, zone: str) -> None:
        """Count for a process in an availability zone."""
        self.zone = zone
        self.flows: dict[tuple[str, bool], Flow] = {}

    def flow(self, kind: str, zone: str) -> Flow:
        """Return the counts of a kind of messages with peers in a zone."""
        leaves = zone != self.zone
        flow = self.flows.get((kind, leaves))
        if flow is None:
            flow = self.flows[kind, leaves] = Flow()
        return flow

    def declare(self, metrics: Metrics) -> None:
        """Declare the counts as metrics; they are read when collected."""
        metrics.observe(
            "sassafraswharf_traffic_bytes",
            self.read_bytes,
            "Bytes of messages by kind, direction and zone of the peers",
        )
        metrics.observe(
            "sassafraswharf_traffic_messages",
            self.read_messages,
            "Messages by kind, direction and zone of the peers",
        )

    def read_bytes(self) -> Iterator[Count]:
        """Yield the bytes with their labels."""
        for labels, flow in self.labelled_flows():
            yield flow.sent_bytes, {**labels, "direction": "sent"}
            yield flow.received_bytes, {**labels, "direction": "received"}

    def read_messages(self) -> Iterator[Count]:
        """Yield the numbers of messages with their labels."""
        for labels, flow in self.labelled_flows():
            yield flow.sent_messages, {**labels, "direction": "sent"}
            yield flow.received_messages, {**labels, "direction": "received"}

    def labelled_flows(self) -> Iterator[tuple[Mapping[str, str], Flow]]:
        """Yield each flow with the labels of its kind and its peers."""
        for (kind, leaves), flow in self.flows.items():
            yield {"kind": kind, "peers": "other_zone" if leaves else "own_zone"}, flow
