"""How a placer's `Coordinator` is made from its settings: its store as a voter, and the subsystems of every voter."""

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
SEED_STRIDE = 104_729  # sets placers' seeds apart, so that incarnations of two do not share one


def open_voter_store(
    settings: PlacerSettings, log: Callable[..., None]
) -> tuple[VoterStore | None, PersistentState | None]:
    """This placer's store as a voter, and what it holds; the latter is None where there is none, or it cannot be read.

    Either is logged as an error for a placer that the settings name as a voter.
    """
    store: VoterStore | None = None
    persistent: PersistentState | None = None
    if settings.state is not None:
        try:
            store = open_existing(Path(settings.state) / STORE_FOLDER)
            persistent = store.load() if store is not None else None
        except StoreError as error:
            log("rules-store-failed", level="error", why=str(error))
    is_voter = settings.agree is not None and settings.name in settings.agree.voters
    if persistent is None and is_voter:
        # Danger: a voter that lost its store may have cast votes that it does not know of; it votes no more.
        log(
            "rules-voter-without-store",
            level="error",
            what="`wingbarrow rules init` makes a new voter's; "
            "one that lost it is left out and taken in anew (`wingbarrow rules voters`)",
        )
    return store, persistent


def maintenance_for(
    settings: PlacerSettings, wall_us: Callable[[int], int]
) -> tuple[MaintenanceScheduler, MaintenanceMember]:
    """A voter's and a placer's part of maintenance; the latter observes nothing yet."""
    grant_us = MaintenanceTiming().grant_us
    if settings.agree is not None:
        grant_us = settings.agree.grant_us
    timing = MaintenanceTiming(grant_us, view_us=3 * grant_us, count_us=grant_us * 3 // 2)
    scheduler = MaintenanceScheduler(settings.name, wall_us, timing)
    member = MaintenanceMember(settings.name, settings.region, NoObservations())
    return scheduler, member


def replicated_subsystems(
    settings: PlacerSettings, maintenance: MaintenanceScheduler, counts: Counter[str]
) -> tuple[AnyReplicatedSubsystem, ...]:
    """The subsystems of a voter: all voters have the same. `counts` takes what sessions refuse."""
    agree = settings.agree
    assert agree is not None
    regions_of_placers = {region for name, region in agree.regions if name not in agree.bare}
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
    """The coordinator of a placer whose settings have `agree`."""
    agree = settings.agree
    assert agree is not None
    return Coordinator(
        local,
        CoordinationSettings(agree.voters, Timing(grant_us=agree.grant_us)),
        persistent,
        settings.seed * SEED_STRIDE + local.incarnation,
        subsystems,
    )
