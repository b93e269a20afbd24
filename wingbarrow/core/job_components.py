"""The components of the core that hold and run Jobs, passed as one to those that lease, move or take over Jobs."""

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
    """One placer's."""

    context: CoreContext
    store: JobStore
    attempts: Attempts
    objects: ApiObjects
    requests: Requests
    runs: Runs
    stops: Stops
