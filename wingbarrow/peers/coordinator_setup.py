"""How a placer's agreement is made from its settings: its store as a voter, the chapters, its own sides of them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from pathlib import Path

from wingbarrow.config.settings import PlacerSettings
from wingbarrow.decide.consensus.log import PersistentState
from wingbarrow.decide.coordination.coordinator import Coordinator
from wingbarrow.decide.coordination.messages import Timing
from wingbarrow.decide.coordination.subsystem import AnyMemberSubsystem
from wingbarrow.decide.maintenance.participant import MaintenanceMember, NoObservations
from wingbarrow.decide.maintenance.scheduler import MaintenanceScheduler
from wingbarrow.decide.maintenance.timing import MaintenanceTiming
from wingbarrow.decide.regions.reports import RegionSubsystem
from wingbarrow.decide.sessions.session_subsystem import SessionSubsystem
from wingbarrow.store.voter_store import StoreError, VoterStore, open_existing


def open_voter_store(
    settings: PlacerSettings, log: Callable[..., None]
) -> tuple[VoterStore | None, PersistentState | None]:
    """What this placer has on disk as a voter; None where it has nothing, or where that cannot be read: told."""
    store, disk = None, None
    if settings.state is not None:
        try:
            store = open_existing(Path(settings.state) / "rules")
            disk = store.load() if store is not None else None
        except StoreError as error:
            log("rules-store-failed", level="error", why=str(error))
    if disk is None and settings.agree is not None and settings.name in settings.agree.voters:
        # Danger: a voter that lost its disk may have promised what it does not know; it votes no more.
        log(
            "rules-voter-without-store",
            level="error",
            what="`wingbarrow rules init` makes a new voter's; "
            "one that lost it is left out and taken in anew (`wingbarrow rules voters`)",
        )
    return store, disk


def maintenance_for(
    settings: PlacerSettings, wall_us: Callable[[int], int]
) -> tuple[MaintenanceScheduler, MaintenanceMember]:
    """The maintenance subsystem and this placer's part of it, which observes no machines yet."""
    grant_us = (
        settings.agree.grant_us if settings.agree is not None else MaintenanceTiming().grant_us
    )
    times = MaintenanceTiming(grant_us, view_us=3 * grant_us, count_us=grant_us * 3 // 2)
    return MaintenanceScheduler(settings.name, wall_us, times), MaintenanceMember(
        settings.name, settings.region, NoObservations()
    )


def coordinator_for(
    settings: PlacerSettings,
    disk: PersistentState | None,
    life: int,
    turns: MaintenanceScheduler,
    sides: tuple[AnyMemberSubsystem, ...],
    counts: Counter[str],
) -> Coordinator:
    """The agreement of a placer whose settings say `agree`; every voter has all chapters. `counts` takes refusals."""
    agree = settings.agree
    assert agree is not None
    named = tuple(sorted({region for name, region in agree.regions if name not in agree.bare}))
    sessions, regions = SessionSubsystem(agree.lease_us), RegionSubsystem(agree.lease_us, named)
    turns.reserved_machines = regions.reserved_machines
    sessions.counts = counts
    return Coordinator(
        settings.name,
        agree.voters,
        disk,
        settings.seed * 104_729 + life,
        Timing(grant_us=agree.grant_us),
        life,
        chapters=(sessions, regions, turns),
        sides=sides,
    )
