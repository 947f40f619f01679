"""Control hosts: Raft group replicas, lease grants and the admin API."""

from __future__ import annotations
