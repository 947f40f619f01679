"""Messages between the system's processes: codec, authentication and sockets."""

from __future__ import annotations
