"""A stand-in of the provider: endpoints, operator, machines on loopback."""

from __future__ import annotations
