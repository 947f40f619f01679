"""Raft: the replica as a pure state machine, its storage and the task that runs it."""

from __future__ import annotations
