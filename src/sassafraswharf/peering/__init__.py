"""Messages between routers and control hosts that find each other from seeds."""

from __future__ import annotations
