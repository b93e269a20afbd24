"""The components that store and run Jobs, bundled for those that lease, migrate or fail over Jobs."""

from __future__ import annotations

from dataclasses import dataclass

from wingbarrow.core.api_objects import ApiObjects
from wingbarrow.core.attempts import Attempts
from wingbarrow.core.context import CoreContext
from wingbarrow.core.job_store import JobStore
from wingbarrow.core.requests import Requests
from wingbarrow.core.runs import Runs
from wingbarrow.core.stops import Stops


@dataclass(frozen=True, slots=True)
class JobComponents:
    """The components of one placer, which are shared by reference."""

    context: CoreContext
    store: JobStore
    attempts: Attempts
    objects: ApiObjects
    requests: Requests
    runs: Runs
    stops: Stops
