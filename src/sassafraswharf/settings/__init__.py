"""Settings of one process: schemas and validating loaders."""

from __future__ import annotations
