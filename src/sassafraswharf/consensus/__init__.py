"""A replicated log: a pure replica, its files and the task that runs a group."""

from __future__ import annotations
