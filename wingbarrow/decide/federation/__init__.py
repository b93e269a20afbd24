"""Placement policies over regions: specs, their validation, encoding and comparison, and the choice of a region.

No I/O, and no dependency on the peer protocol.
"""

from __future__ import annotations
