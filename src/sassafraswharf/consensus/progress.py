"""Replication progress of one member, as tracked by the leader."""

from __future__ import annotations

from collections import deque

from sassafraswharf.consensus.timing import NEVER


# Flow control: batches in flight to one replica, and the size of a batch. With the
# envelope a batch stays below the 1 MiB limit of a message.
MAX_BATCHES_IN_FLIGHT = 16
MAX_BATCH_ENTRIES = 1_024
MAX_BATCH_BYTES = 256 * 1_024
MAX_COMMAND_BYTES = 768 * 1_024


class Progress:
    """Acknowledged position, flow control and snapshot transfer of one member."""

    def __init__(self, next_index: int) -> None:
        self.match_index = 0
        self.next_index = next_index
        self.in_flight: deque[int] = deque()
        # After a refusal one batch at a time is sent, starting after this index,
        # until one is accepted. Otherwise each refusal of a whole window would
        # cause the window to be sent again.
        self.probe_index: int | None = None
        # When the newest answered message was sent. The member refuses votes for
        # other candidates at least from then until the election timeout.
        self.contact_at = NEVER
        self.snapshot_index = 0
        self.snapshot_offset = 0
        self.snapshot_sent_at = NEVER

    @property
    def may_send_batch(self) -> bool:
        """Return whether another batch may be sent."""
        limit = MAX_BATCHES_IN_FLIGHT if self.probe_index is None else 1
        return len(self.in_flight) < limit

    def record_contact(self, sent_at: float, now: float) -> None:
        """Record an answer to a message that was sent at ``sent_at``."""
        if self.contact_at < sent_at <= now:
            self.contact_at = sent_at

    def record_sent(self, last_index: int) -> None:
        """Record that a batch up to ``last_index`` was sent."""
        self.in_flight.append(last_index)
        self.next_index = last_index + 1

    def record_accepted(self, index: int) -> None:
        """Record that the log agrees and is synced up to ``index``."""
        self.match_index = max(self.match_index, index)
        self.probe_index = None
        self.next_index = max(self.next_index, self.match_index + 1)
        while self.in_flight and self.in_flight[0] <= self.match_index:
            self.in_flight.popleft()

    def record_rejected(self, previous: int, hint: int) -> None:
        """Move the probe back to the last position that may match."""
        if self.probe_index not in {None, previous} or previous < self.match_index:
            return
        self.probe_index = max(min(previous - 1, hint), self.match_index, 0)
        self.repeat_probe()

    def repeat_probe(self) -> None:
        """Send the batch after the probed index again."""
        if self.probe_index is not None:
            self.in_flight.clear()
            self.next_index = self.probe_index + 1
