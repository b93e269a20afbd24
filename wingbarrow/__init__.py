"""wingbarrow: decides for a placer of service instances on shared machines, by Random Early Migration."""

from wingbarrow.scheduler import Scheduler

__all__ = ["Scheduler"]
