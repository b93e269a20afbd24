"""Where work may run: federation specs, their faults, and the choice of a region. No I/O; knows nothing of peers."""

from __future__ import annotations
