"""One placer: the components of the core put together. `docs/architecture.md` draws a task's way through them."""

from __future__ import annotations

import random
from collections.abc import Callable

from wingbarrow import interface as api
from wingbarrow.config import PlacerSettings
from wingbarrow.config.subsetting import module_settings
from wingbarrow.core.active_rules import ActiveRules
from wingbarrow.core.api_objects import ApiObjects
from wingbarrow.core.attempts import Attempts
from wingbarrow.core.base import Base
from wingbarrow.core.checkpoint import Checkpoint
from wingbarrow.core.drain_schedule import DrainSchedule
from wingbarrow.core.drainer import Drainer
from wingbarrow.core.ended_session import EndedSessionJobs
from wingbarrow.core.failover import FailoverListener, JobFailover
from wingbarrow.core.fleet import Fleet
from wingbarrow.core.host import Host
from wingbarrow.core.job_admission import JobAdmission
from wingbarrow.core.job_components import JobComponents
from wingbarrow.core.job_store import JobStore, Step
from wingbarrow.core.leased_jobs import LeasedJobs
from wingbarrow.core.local_region import OwnRegion
from wingbarrow.core.machine_fences import MachineFences
from wingbarrow.core.machine_leases import MachineLeases
from wingbarrow.core.machines import Machines
from wingbarrow.core.maintenance import LocalMachines, MaintenanceSlots
from wingbarrow.core.migrations import Mover
from wingbarrow.core.observations import Observations
from wingbarrow.core.offers import Offers
from wingbarrow.core.orphans import Orphans
from wingbarrow.core.outlier_ejection import Verdicts
from wingbarrow.core.remote_regions import Elsewhere
from wingbarrow.core.requests import Requests
from wingbarrow.core.runs import Runs
from wingbarrow.core.slow_start import ColdShares
from wingbarrow.core.stops import Stops
from wingbarrow.core.subset import Subset
from wingbarrow.decide.admission import Admission
from wingbarrow.decide.coordination.leases import RulesInForce
from wingbarrow.peers.host import Peering
from wingbarrow.peers.learner import Learner
from wingbarrow.peers.message_bounds import HANDING
from wingbarrow.peers.peer_hints import Hearsay
from wingbarrow.peers.replication import RecordReplication
from wingbarrow.peers.ruleset_settings import calendar_under
from wingbarrow.transport import Hub, Nursery


class _Hands:
    """Who carries out what the module decides."""

    def __init__(
        self, offers: Offers, requests: Requests, runs: Runs, fleet: Fleet, board: ApiObjects
    ) -> None:
        self._offers, self._requests, self._runs, self._fleet, self._board = (
            offers,
            requests,
            runs,
            fleet,
            board,
        )

    def bind(self, bind: api.Bind) -> None:
        self._offers.bind(bind)

    def refuse(self, request: int) -> None:
        self._requests.reject_or_fail(request, Step.REFUSE)

    def fail(self, request: int) -> None:
        self._requests.reject_or_fail(request, Step.FAIL)

    def move(self, request: int) -> None:
        self._runs.move(request)

    def probe(self, machine: int) -> None:
        self._fleet.probe(machine)

    def flush(self) -> None:
        self._board.flush()


class Placer:
    """The core of the program; fronts talk to `desk` and read the `board`."""

    def __init__(self, hub: Hub, settings: PlacerSettings, log: Callable[..., None]) -> None:
        base = self.base = Base(hub, settings, log)
        limits = settings.limits
        book = self.book = JobStore(
            Admission(limits.tasks_open, limits.tasks_per_namespace), limits.jobs_kept
        )
        attempts = self.attempts = Attempts()
        machines = self.machines = Machines()
        host = self.host = Host(base, module_settings(settings))
        board = self.board = ApiObjects(base, book)
        requests = Requests(base, host, book, attempts, board)
        self.waits = requests.waits
        stops = self.stops = Stops(
            hub, random.Random(base.random.random()), base.spawn, base.counts
        )
        runs = Runs(base, book, attempts, board, requests, stops)
        strays = Orphans(base, host, book, attempts, board, requests, runs, stops)
        rulebook = self.rulebook = ActiveRules(base, host)
        self.peering = Peering(hub, settings, base.started_us, log)
        components = JobComponents(base, book, attempts, board, requests, runs, stops)
        self.leases: MachineLeases | None = None
        self.turns: MaintenanceSlots | None = None
        self.leaseholder: LeasedJobs | None = None
        if settings.agree is not None and settings.region:
            leases = self.leases = MachineLeases(
                base, machines, self.peering.lease, settings.agree.lease_us
            )
            records = RecordReplication(hub, settings, base.started_us, self.peering)
            self.leaseholder = LeasedJobs(components, leases, records, rulebook.federation)
            strays.place_leased = self.leaseholder.adopt
        offers = self.offers = Offers(
            base, host, book, attempts, machines, requests, strays, rulebook, self.leaseholder
        )
        sightings = Observations(base, host, attempts, offers, runs, strays)
        fleet = self.fleet = Fleet(base, host, board, machines, attempts, runs, sightings)
        self.hearsay = Hearsay(base, host, fleet, machines, sightings)
        self.failover = self._failover(components, strays)
        drain_schedule = DrainSchedule(base, host, fleet, attempts, runs, board)
        self.mover: Mover | None = None
        elsewhere = self._elsewhere(fleet, requests) if self.leaseholder is not None else None
        desk = self.desk = JobAdmission(
            base,
            book,
            attempts,
            board,
            requests,
            runs,
            stops,
            drain_schedule,
            rulebook,
            self.leaseholder,
            elsewhere,
        )
        if elsewhere is not None:
            elsewhere.submit = lambda value, namespace: desk.submit(
                value, namespace, False, handed=True
            )
            elsewhere.delete = desk.delete_job
            if self.leaseholder is not None:
                self.mover = Mover(
                    base, book, attempts, requests, runs, self.leaseholder, elsewhere
                )
        host.hands = _Hands(offers, requests, runs, fleet, board)
        self._keeper = Checkpoint(base, fleet)
        if settings.agree is not None:
            rulebook.recheck_machines = lambda names: fleet.take_again(
                [entry for name, entry in fleet.held.items() if name in names]
            )
            fleet.guards.append(rulebook.guard)
            rulebook.acting = self._acting
            self.peering.on_rules = rulebook.on_rules
            self.peering.on_rights = rulebook.on_quotas
            rulebook.hurry = self.peering.hurry
            self.peering.uses = self._uses
            # Of the cold budget a placer wants as much as waits; how much of that is for cold machines nobody knows.
            self.peering.demand = lambda key: book.unanswered if key == "cold" else 0
            verdicts = Verdicts(base, fleet, lambda: self.peering.agreement)
            turns = self.turns = MaintenanceSlots(
                base,
                LocalMachines(fleet, machines, attempts, stops, drain_schedule),
                self.peering.turn_side,
                lambda: self.peering.agreement,
                rulebook.in_force,
            )
            self.peering.on_turns = turns.on_slots_changed
            requests.on_start_outcome = turns.observing(verdicts.note)
            self.peering.zones, self.peering.on_verdicts = verdicts.zones, verdicts.take
            rulebook.quotas = (
                lambda: self.peering.agreement.quotas
                if self.peering.agreement is not None
                else None
            )
        self.subset: Subset | None = None
        if settings.subset is not None:
            subset = self.subset = Subset(
                base,
                settings.subset,
                fleet,
                machines,
                attempts,
                stops,
                self._members,
                self.waits.any_long,
            )
            cold = offers.cold = ColdShares(
                base, fleet, attempts, subset.subsets, rulebook.cold_offers
            )
            requests.on_attempt_answered, fleet.spoke = cold.ended, cold.spoke
        self.learner = Learner(hub, settings, self.hearsay, base.started_us, log)
        needed = tuple(
            each.task_class.kind for each in settings.classes.values() if each.task_class.kind
        )
        self.drainer = Drainer(
            hub,
            settings.calendars,
            needed,
            settings.scheduler.placers,
            settings.state,
            drain_schedule,
            log,
            is_agreed=settings.agree is not None,
        )
        if settings.agree is not None:
            rulebook.on_drains = lambda rules: self.drainer.on_agreed(
                calendar_under(rules, needed), rules.asked, rules.cancelled
            )
            rulebook.is_drained = lambda machine: self.drainer.is_closed(
                machine
            ) or self.peering.turn_side.is_closed(machine)
            self.drainer.may_move = lambda: self._acting(hub.now_us()) is not None
            self.drainer.on_closed = lambda machines: self.peering.history(
                "closed", machines=sorted(machines)
            )

    def run(self) -> None:
        """Work until cancelled; a failure of the core itself ends it."""
        base = self.base
        with Nursery(base.hub) as nursery:
            base.live_in(nursery)
            self._keeper.load()
            nursery.spawn(self.fleet.reflector.run, "reflector")
            nursery.spawn(self.fleet.give_up_waiting, "rebirth")
            nursery.spawn(self.learner.run, "learner")
            if base.settings.calendars or self.drainer.is_agreed:
                nursery.spawn(self.drainer.run, "drainer")
            nursery.spawn(self.peering.run, "peers")
            if self.subset is not None:
                nursery.spawn(self.subset.run, "subset")
            if self.turns is not None:
                nursery.spawn(self.turns.run, "turns")
            if self.mover is not None:
                nursery.spawn(self.mover.run, "mover")
            if self.leases is not None and self.leaseholder is not None:
                nursery.spawn(self.leases.run, "leases")
                nursery.spawn(self.leaseholder.records.run, "custody")
            if base.settings.state:
                nursery.spawn(self._keeper.run, "saving")
        if self.host.failed is not None:
            raise self.host.failed

    def _failover(self, components: JobComponents, strays: Orphans) -> JobFailover | None:
        """What acts on ends of sessions; None where no Job is leased."""
        if self.leaseholder is None:
            return None
        records = self.leaseholder.records
        failover = JobFailover(components, self.fleet, self.leaseholder)
        ended_jobs = EndedSessionJobs(components, self.leaseholder)
        fences = MachineFences(self.base, self.machines, records)
        records.connect(FailoverListener(failover, ended_jobs, fences))
        strays.is_foreign = ended_jobs.is_stray
        return failover

    def _elsewhere(self, fleet: Fleet, requests: Requests) -> Elsewhere:
        """The room for what crosses regions."""
        peering, base = self.peering, self.base
        made = Elsewhere(base, self.book, self.board, requests, base.started_us)
        made.federation = self.rulebook.federation
        made.news = peering.regions.news
        made.targets = peering.targets
        made.act = lambda effects: peering.act("handing", effects)
        peering.host("handing", made, HANDING)
        own = OwnRegion(base, self.book, fleet)
        peering.regions.read_own = own.say
        if self.leaseholder is not None:
            own.leased = self.leaseholder.leased_by_spec
        return made

    def _uses(self, key: str) -> int:
        """Open tasks under a standing limit, for what is told to the voters' leader."""
        about, _, rest = key.partition("/")
        return self.book.admission.standing(about, rest.rpartition("/")[0])

    def _members(self) -> tuple[frozenset[str], int]:
        """The other placers that live by membership, and how many it has heard of."""
        table = self.peering.membership.table
        return frozenset(each.word.ident for each in table.living()), len(table.members)

    def _acting(self, now_us: int) -> RulesInForce | None:
        agreement = self.peering.agreement
        return agreement.rules_in_force(now_us) if agreement is not None else None

    @property
    def ready(self) -> bool:
        """Whether a list of machines has come."""
        return self.fleet.ready

    def sees(self, machines: int) -> bool:
        """Whether the list names at least so many machines and each of them has told what it runs."""
        return self.fleet.sees(machines)

    def oddities(self) -> dict[str, int]:
        """Steps that the state tables lack, and how often each was met; empty unless something is wrong."""
        return dict(self.book.unexpected_transitions + self.attempts.unexpected_transitions)

    def take_settings(self, fresh: PlacerSettings) -> None:
        """Use a file's settings that was read again: patience, priorities, restarts and limits of what comes."""
        self.base.settings = fresh
        self.drainer.reload()
        self.book.set_limits(
            fresh.limits.jobs_kept, fresh.limits.tasks_open, fresh.limits.tasks_per_namespace
        )
        self.board.store.window_most = fresh.limits.window
