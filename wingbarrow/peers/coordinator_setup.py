"""Construction of a placer's `Coordinator` from its settings: its voter store and the subsystems of every voter."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from pathlib import Path

from wingbarrow.config.settings import PlacerSettings
from wingbarrow.decide.consensus.persistent_state import PersistentState
from wingbarrow.decide.coordination.coordinator import Coordinator
from wingbarrow.decide.coordination.messages import Timing
from wingbarrow.decide.coordination.settings import CoordinationSettings, LocalPlacer, Subsystems
from wingbarrow.decide.coordination.subsystem import AnyReplicatedSubsystem
from wingbarrow.decide.maintenance.participant import MaintenanceMember, NoObservations
from wingbarrow.decide.maintenance.scheduler import MaintenanceScheduler
from wingbarrow.decide.maintenance.timing import MaintenanceTiming
from wingbarrow.decide.regions.reports import RegionSubsystem
from wingbarrow.decide.sessions.session_subsystem import SessionSubsystem
from wingbarrow.store.voter_store import StoreError, VoterStore, open_existing

STORE_FOLDER = "rules"  # within the state folder
SEED_STRIDE = 104_729  # separates the seeds of placers, so that incarnations of two placers do not share a seed


def open_voter_store(
    settings: PlacerSettings, log: Callable[..., None]
) -> tuple[VoterStore | None, PersistentState | None]:
    """Open this placer's voter store and load its state; the state is None without a store, or if it is unreadable.

    A missing state is logged as an error if the settings name this placer as a voter.
    """
    store: VoterStore | None = None
    persistent: PersistentState | None = None
    if settings.state is not None:
        try:
            store = open_existing(Path(settings.state) / STORE_FOLDER)
            persistent = store.load() if store is not None else None
        except StoreError as error:
            log("voter-store-failed", level="error", why=str(error))
    is_voter = settings.agree is not None and settings.name in settings.agree.voters
    if persistent is None and is_voter:
        # Danger: a voter that lost its store may have cast votes that it no longer knows; it must not vote again.
        log(
            "rules-voter-without-store",
            level="error",
            what="`wingbarrow rules init` creates the store of a new voter; "
            "a voter that lost its store must be removed and added again (`wingbarrow rules voters`)",
        )
    return store, persistent


def maintenance_for(
    settings: PlacerSettings, wall_us: Callable[[int], int]
) -> tuple[MaintenanceScheduler, MaintenanceMember]:
    """The maintenance scheduler of a voter and the maintenance member of a placer, still without observations."""
    grant_us = MaintenanceTiming().grant_us
    if settings.agree is not None:
        grant_us = settings.agree.grant_us
    timing = MaintenanceTiming(
        grant_us, report_max_age_us=3 * grant_us, count_timeout_us=grant_us * 3 // 2
    )
    scheduler = MaintenanceScheduler(settings.name, wall_us, timing)
    member = MaintenanceMember(settings.name, settings.region, NoObservations())
    return scheduler, member


def replicated_subsystems(
    settings: PlacerSettings, maintenance: MaintenanceScheduler, counts: Counter[str]
) -> tuple[AnyReplicatedSubsystem, ...]:
    """The replicated subsystems, which are the same at all voters. `counts` counts requests that sessions reject."""
    agree = settings.agree
    assert agree is not None
    regions_of_placers = {
        region for name, region in agree.regions if name not in agree.members_without_machines
    }
    sessions = SessionSubsystem(agree.lease_us)
    sessions.counts = counts
    regions = RegionSubsystem(agree.lease_us, tuple(sorted(regions_of_placers)))
    maintenance.reserved_machines = regions.reserved_machines
    return sessions, regions, maintenance


def coordinator_for(
    settings: PlacerSettings,
    persistent: PersistentState | None,
    local: LocalPlacer,
    subsystems: Subsystems,
) -> Coordinator:
    """Create the coordinator of a placer whose settings have an `agree` block."""
    agree = settings.agree
    assert agree is not None
    return Coordinator(
        local,
        CoordinationSettings(agree.voters, Timing(grant_us=agree.grant_us)),
        persistent,
        settings.seed * SEED_STRIDE + local.incarnation,
        subsystems,
    )
