"""One placer: builds the components of the core and connects them.

`docs/architecture.md` describes a task's path through them.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from wingbarrow import interface as api
from wingbarrow.config import PlacerSettings
from wingbarrow.config.settings import SubsetSettings
from wingbarrow.config.subset_settings import module_settings
from wingbarrow.core.active_rules import ActiveRules
from wingbarrow.core.api_objects import ApiObjects
from wingbarrow.core.attempts import Attempts
from wingbarrow.core.checkpoint import Checkpoint
from wingbarrow.core.context import CoreContext
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
from wingbarrow.core.local_region import LocalRegion
from wingbarrow.core.machine_fences import MachineFences
from wingbarrow.core.machine_leases import MachineLeases
from wingbarrow.core.machines import Machines
from wingbarrow.core.maintenance import LocalMachines, MaintenanceSlots
from wingbarrow.core.migrations import Migrations
from wingbarrow.core.offers import Offers
from wingbarrow.core.orphans import Orphans
from wingbarrow.core.outlier_ejection import OutlierEjections
from wingbarrow.core.pod_observer import PodObserver
from wingbarrow.core.remote_regions import RemoteRegions
from wingbarrow.core.requests import Requests
from wingbarrow.core.runs import Runs
from wingbarrow.core.slow_start import SlowStartShares
from wingbarrow.core.stops import Stops
from wingbarrow.core.subset import Subset
from wingbarrow.decide.admission import Admission
from wingbarrow.decide.coordination.coordinator import Coordinator
from wingbarrow.decide.coordination.leases import RulesInForce
from wingbarrow.decide.effects import Effect
from wingbarrow.decide.quotas.escrow import QuotaAccount
from wingbarrow.decide.rulesets.ruleset import RuleSet
from wingbarrow.peers.host import Peering
from wingbarrow.peers.learner import Learner
from wingbarrow.peers.message_bounds import FORWARDING_MESSAGES
from wingbarrow.peers.peer_hints import PeerHints
from wingbarrow.peers.replication import RecordReplication
from wingbarrow.peers.ruleset_settings import agreed_calendar
from wingbarrow.transport import Hub, Nursery


class _ModuleActions:
    """Carries out the module's actions (`core.host.ActionHandler`), each by the component that owns it."""

    def __init__(
        self, offers: Offers, requests: Requests, runs: Runs, fleet: Fleet, objects: ApiObjects
    ) -> None:
        self._offers = offers
        self._requests = requests
        self._runs = runs
        self._fleet = fleet
        self._objects = objects

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
        self._objects.flush()


class Placer:
    """The core of the program; fronts call `admission` and read `objects`.

    The order in which components are built is part of the behaviour: it determines the order of their random draws
    from `context.random`, of the fleet's guards and of the Job store's listeners.
    """

    def __init__(self, hub: Hub, settings: PlacerSettings, log: Callable[..., None]) -> None:
        self.context = CoreContext(hub, settings, log)
        self._class_kinds = tuple(
            each.task_class.kind for each in settings.classes.values() if each.task_class.kind
        )
        self._build_core(settings)
        self.active_rules = ActiveRules(self.context, self.host)
        self.peering = Peering(hub, settings, self.context.started_us, log)
        self.leases: MachineLeases | None = None
        self.leased_jobs: LeasedJobs | None = None
        if settings.agree is not None and settings.region:
            self._build_leases(settings, settings.agree.lease_us)
        self._build_machines()
        self.job_failover: JobFailover | None = None
        if self.leased_jobs is not None:
            self._build_failover(self.leased_jobs)
        self._drain_schedule = DrainSchedule(
            self.context, self.host, self.fleet, self.attempts, self._runs, self.objects
        )
        self._build_admission()
        self.host.action_handler = _ModuleActions(
            self.offers, self._requests, self._runs, self.fleet, self.objects
        )
        self._checkpoint = Checkpoint(self.context, self.fleet)
        self.maintenance: MaintenanceSlots | None = None
        if settings.agree is not None:
            self._build_agreement()
        self.subset: Subset | None = None
        if settings.subset is not None:
            self._build_subset(settings.subset)
        self.learner = Learner(hub, settings, self.peer_hints, self.context.started_us, log)
        self._build_drains(settings, log)

    # -- construction

    def _build_core(self, settings: PlacerSettings) -> None:
        """The decision module, and the components that handle tasks on every placer."""
        context = self.context
        limits = settings.limits
        self.job_store = JobStore(
            Admission(limits.tasks_open, limits.tasks_per_namespace), limits.jobs_kept
        )
        self.attempts = Attempts()
        self.machines = Machines()
        self.host = Host(context, module_settings(settings))
        self.objects = ApiObjects(context, self.job_store)
        self._requests = Requests(context, self.host, self.job_store, self.attempts, self.objects)
        self.waits = self._requests.waits
        self.stops = Stops(
            context.hub, random.Random(context.random.random()), context.spawn, context.counts
        )
        self._runs = Runs(
            context, self.job_store, self.attempts, self.objects, self._requests, self.stops
        )
        self._orphans = Orphans(
            context,
            self.host,
            self.job_store,
            self.attempts,
            self.objects,
            self._requests,
            self._runs,
            self.stops,
        )

    def _build_leases(self, settings: PlacerSettings, lease_us: int) -> None:
        """Leased Jobs: machines hold leases of this placer's session, other placers replicas of the Job records."""
        self.leases = MachineLeases(self.context, self.machines, self.peering.lease, lease_us)
        records = RecordReplication(
            self.context.hub, settings, self.context.started_us, self.peering
        )
        self.leased_jobs = LeasedJobs(
            self._job_components(), self.leases, records, self.active_rules.federation
        )
        self._orphans.place_leased = self.leased_jobs.adopt

    def _job_components(self) -> JobComponents:
        return JobComponents(
            self.context,
            self.job_store,
            self.attempts,
            self.objects,
            self._requests,
            self._runs,
            self.stops,
        )

    def _build_machines(self) -> None:
        """Machines: their list, offers to them, their reports, and peers' hints about them."""
        self.offers = Offers(
            self.context,
            self.host,
            self.job_store,
            self.attempts,
            self.machines,
            self._requests,
            self._orphans,
            self.active_rules,
            self.leased_jobs,
        )
        pod_observer = PodObserver(
            self.context, self.host, self.attempts, self.offers, self._runs, self._orphans
        )
        self.fleet = Fleet(
            self.context,
            self.host,
            self.objects,
            self.machines,
            self.attempts,
            self._runs,
            pod_observer,
        )
        self.peer_hints = PeerHints(
            self.context, self.host, self.fleet, self.machines, pod_observer
        )

    def _build_failover(self, leased_jobs: LeasedJobs) -> None:
        """Failover of leased Jobs of ended sessions, of other placers and of this one; fencing of machines."""
        components = self._job_components()
        records = leased_jobs.records
        self.job_failover = JobFailover(components, self.fleet, leased_jobs)
        ended_jobs = EndedSessionJobs(components, leased_jobs)
        fences = MachineFences(self.context, self.machines, records)
        records.connect(FailoverListener(self.job_failover, ended_jobs, fences))
        self._orphans.is_foreign = ended_jobs.is_leased_orphan

    def _build_admission(self) -> None:
        """Admission of Jobs from fronts; with leases, also forwarding of Jobs to and from other regions."""
        remote_regions = None
        if self.leased_jobs is not None:
            remote_regions = self._build_remote_regions(self.leased_jobs)
        self.admission = JobAdmission(
            self.context,
            self.job_store,
            self.attempts,
            self.objects,
            self._requests,
            self._runs,
            self.stops,
            self._drain_schedule,
            self.active_rules,
            self.leased_jobs,
            remote_regions,
        )
        self.migrations: Migrations | None = None
        if remote_regions is not None and self.leased_jobs is not None:
            remote_regions.admission = self.admission
            self.migrations = Migrations(
                self.context,
                self.job_store,
                self.attempts,
                self._requests,
                self._runs,
                self.leased_jobs,
                remote_regions,
            )

    def _build_remote_regions(self, leased_jobs: LeasedJobs) -> RemoteRegions:
        """Forwarding of Jobs between regions, and this region's report to the other regions."""
        peering = self.peering
        remote_regions = RemoteRegions(
            self.context, self.job_store, self.objects, self._requests, self.context.started_us
        )
        remote_regions.federation = self.active_rules.federation
        remote_regions.region_statuses = peering.regions.statuses
        remote_regions.targets = peering.targets
        remote_regions.carry_out = self._carry_out_forwarding
        peering.register("handing", remote_regions, FORWARDING_MESSAGES)
        local_region = LocalRegion(self.context, self.job_store, self.fleet)
        local_region.leased_by_spec = leased_jobs.leased_by_spec
        peering.regions.read_own = local_region.report
        return remote_regions

    def _build_agreement(self) -> None:
        """Agreement between placers on rules, quotas, ejected machines and maintenance slots."""
        peering, active_rules = self.peering, self.active_rules
        active_rules.recheck_machines = self.fleet.reapply_named
        self.fleet.guards.append(active_rules.guard)
        active_rules.permitted_rules = self._rules_in_force
        peering.on_rules = active_rules.on_rules
        peering.on_quotas_changed = active_rules.on_quotas
        active_rules.request_quota_soon = peering.request_quotas_soon
        peering.quotas_in_use = self._quota_in_use
        peering.quota_demand = self._quota_demand
        ejections = OutlierEjections(self.context, self.fleet, self._coordinator)
        self.maintenance = MaintenanceSlots(
            self.context,
            LocalMachines(
                self.fleet, self.machines, self.attempts, self.stops, self._drain_schedule
            ),
            peering.maintenance_member,
            self._coordinator,
            active_rules.in_force,
        )
        peering.on_slots_changed = self.maintenance.on_slots_changed
        self._requests.on_start_outcome = self.maintenance.forwarding_to(ejections.record_outcome)
        peering.machine_zones = ejections.zones
        peering.on_ejections_changed = ejections.on_verdicts
        active_rules.quotas = self._quota_account

    def _build_subset(self, settings: SubsetSettings) -> None:
        """The subset of the region's machines that this placer holds, and its share of the offers to cold machines."""
        self.subset = Subset(
            self.context,
            settings,
            self.fleet,
            self.machines,
            self.attempts,
            self.stops,
            self._members,
            self.waits.has_long_wait,
        )
        shares = SlowStartShares(
            self.context,
            self.fleet,
            self.attempts,
            self.subset.subsets,
            self.active_rules.cold_offers,
        )
        self.offers.slow_start = shares
        self._requests.on_attempt_answered = shares.on_attempt_answered
        self.fleet.on_contact = shares.on_contact

    def _build_drains(self, settings: PlacerSettings, log: Callable[..., None]) -> None:
        """Calendar drains, from this placer's own calendars or from the agreed rules."""
        self.drainer = Drainer(
            self.context.hub,
            settings.calendars,
            self._class_kinds,
            settings.scheduler.placers,
            settings.state,
            self._drain_schedule,
            log,
            is_agreed=settings.agree is not None,
        )
        if settings.agree is not None:
            self.active_rules.on_agreed_drains = self._on_agreed_drains
            self.active_rules.is_drained = self._is_drained_by_agreement
            self.drainer.may_move = self._may_act
            self.drainer.on_closed = self._on_machines_closed

    # -- execution

    def run(self) -> None:
        """Run until cancelled; raises the error with which the decision module failed, if it did."""
        context = self.context
        with Nursery(context.hub) as nursery:
            context.attach_nursery(nursery)
            self._checkpoint.load()
            nursery.spawn(self.fleet.reflector.run, "reflector")
            nursery.spawn(self.fleet.run_restart_timeouts, "rebirth")
            nursery.spawn(self.learner.run, "learner")
            if context.settings.calendars or self.drainer.is_agreed:
                nursery.spawn(self.drainer.run, "drainer")
            nursery.spawn(self.peering.run, "peers")
            if self.subset is not None:
                nursery.spawn(self.subset.run, "subset")
            if self.maintenance is not None:
                nursery.spawn(self.maintenance.run, "turns")
            if self.migrations is not None:
                nursery.spawn(self.migrations.run, "mover")
            if self.leases is not None and self.leased_jobs is not None:
                nursery.spawn(self.leases.run, "leases")
                nursery.spawn(self.leased_jobs.records.run, "custody")
            if context.settings.state:
                nursery.spawn(self._checkpoint.run, "saving")
        if self.host.failed is not None:
            raise self.host.failed

    # -- callbacks of components

    def _coordinator(self) -> Coordinator | None:
        """The replicated state machine of the agreement; None where this placer takes no part, or not yet."""
        return self.peering.agreement

    def _rules_in_force(self, now_us: int) -> RulesInForce | None:
        agreement = self.peering.agreement
        return agreement.rules_in_force(now_us) if agreement is not None else None

    def _may_act(self) -> bool:
        """Whether agreed rules are in force at this placer now."""
        return self._rules_in_force(self.context.hub.now_us()) is not None

    def _quota_account(self) -> QuotaAccount | None:
        agreement = self.peering.agreement
        return agreement.quotas if agreement is not None else None

    def _quota_in_use(self, key: str) -> int:
        """Number of open tasks under a quota, for the report to the leader of the voters."""
        about, _, rest = key.partition("/")
        return self.job_store.admission.open_count(about, rest.rpartition("/")[0])

    def _quota_demand(self, key: str) -> int:
        """Demand beyond the use. For the cold budget: all waiting tasks, as it is unknown which ones need it."""
        return self.job_store.unanswered if key == "cold" else 0

    def _carry_out_forwarding(self, effects: list[Effect]) -> None:
        self.peering.perform("handing", effects)

    def _members(self) -> tuple[frozenset[str], int]:
        """The other placers that are alive by membership, and the number of members ever known."""
        table = self.peering.membership.table
        return frozenset(each.update.ident for each in table.live_members()), len(table.members)

    def _on_agreed_drains(self, rules: RuleSet) -> None:
        self.drainer.on_agreed(
            agreed_calendar(rules, self._class_kinds), rules.asked, rules.cancelled
        )

    def _is_drained_by_agreement(self, machine: str) -> bool:
        return self.drainer.is_closed(machine) or self.peering.maintenance_member.is_closed(machine)

    def _on_machines_closed(self, machines: frozenset[str]) -> None:
        self.peering.history("closed", machines=sorted(machines))

    # -- queries and settings of fronts and operators

    @property
    def ready(self) -> bool:
        """Whether a machine list has been received from the list source."""
        return self.fleet.ready

    def has_complete_view(self, machines: int) -> bool:
        """Whether the list contains at least `machines` machines and each of them has listed its pods."""
        return self.fleet.has_complete_view(machines)

    def unexpected_transitions(self) -> dict[str, int]:
        """Counts of transitions that the state tables do not allow; empty unless there is a defect."""
        return dict(self.job_store.unexpected_transitions + self.attempts.unexpected_transitions)

    def apply_settings(self, fresh: PlacerSettings) -> None:
        """Apply reloaded settings: patience, priorities, restarts and admission limits."""
        self.context.settings = fresh
        self.drainer.reload()
        self.job_store.set_limits(
            fresh.limits.jobs_kept, fresh.limits.tasks_open, fresh.limits.tasks_per_namespace
        )
        self.objects.store.max_window = fresh.limits.window
