"""The control part: replicas of the groups, lease grants and the admin API."""

from __future__ import annotations
