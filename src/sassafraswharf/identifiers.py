"""Identifier types used in messages and replicated state."""

from __future__ import annotations

from typing import NewType


HostId = NewType("HostId", str)
UpstreamId = NewType("UpstreamId", str)
ServiceName = NewType("ServiceName", str)
CellId = NewType("CellId", str)
GroupId = NewType("GroupId", str)
ReplicaId = NewType("ReplicaId", str)
SessionId = NewType("SessionId", int)
"""The log index of the command that opened the session."""
