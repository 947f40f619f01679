"""The replicated state machine of a cell and the control loop of its leader."""

from __future__ import annotations
