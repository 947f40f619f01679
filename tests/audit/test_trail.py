from __future__ import annotations

from sassafraswharf.audit.trail import AuditEntry
from sassafraswharf.audit.trail import AuditTrail


def test_trail_is_bounded_and_newest_first() -> None:
    """Guards against a trail that grows without limit or loses new entries."""
    trail = AuditTrail(max_entries=3)
    for number in range(5):
        trail.record(AuditEntry(0.0, "op", "Admit", "u", number, 0))
    assert [entry.revision for entry in trail.newest(2)] == [4, 3]
    assert len(trail.entries) == 3
