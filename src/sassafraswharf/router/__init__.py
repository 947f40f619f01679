"""The router part: HTTP to callers, upstreams and other routers."""

from __future__ import annotations
