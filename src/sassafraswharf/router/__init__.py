"""The router: HTTP between callers, local upstreams and other routers."""

from __future__ import annotations
