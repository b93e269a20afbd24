"""Kinds of slow services, for simulations and fake services."""

from __future__ import annotations

from enum import Enum


class Order(Enum):
    """When a slow service looks for news."""

    WAIT_THEN_LATE = "as long as was asked; the answer takes its time after that"
    LATE_THEN_WAIT = "when it comes to the call, for the rest of the wait that was asked"
    QUEUE_THEN_WAIT = "when it comes to the call, as long as was asked"


__all__ = ["Order"]
