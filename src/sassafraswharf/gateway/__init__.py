"""The gateway: routes requests to upstreams and grants them leases on keys."""

from __future__ import annotations
