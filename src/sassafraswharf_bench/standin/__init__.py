"""Modules of the upstream stand-in: request handling, grants, state and faults."""

from __future__ import annotations
