"""A model of rule 4: one real scheduler a placer, and machines that have just started; see test_cold_offer_bound.py.

Lists reach each placer with a delay. An offer waits for its connection, passes the checks before sending and reaches
the process that listens at its machine's address by then. Arrivals at a cold process are recorded and counted without
the scheduler's code.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from math import floor, sqrt

from tests.conftest import S, listed, settings, task_class
from wingbarrow import Scheduler
from wingbarrow import interface as api

CLASSES = (
    task_class("web"),
    task_class("key", api.Effect.KEYED),
    task_class("once", api.Effect.UNSAFE),
)
MS = 1000
START_US = 100 * S


@dataclass(frozen=True)
class ColdRule:
    """The figures of rule 4, and the number of placers that share them."""

    placers: int
    fresh_offers: float
    cold_us: int = 18 * S
    fall_us: int = 2 * S
    arrivals_told: bool = False

    @property
    def bound(self) -> int:
        """Most offers within any span of `fall_us` from placers that know of the start."""
        return floor(self.fresh_offers)

    @property
    def overload_threshold(self) -> float:
        """More offers than this within a span overload the machine."""
        return self.fresh_offers + 2 * sqrt(self.fresh_offers) + 2

    @property
    def wait_us(self) -> int:
        """How long an offer to a cold machine may wait for its connection."""
        return self.fall_us // 8

    def settings_of(self, index: int) -> api.Settings:
        return settings(
            *CLASSES,
            placers=self.placers,
            index=index,
            fresh_offers=self.fresh_offers,
            cold_us=self.cold_us,
            fall_us=self.fall_us,
            arrivals_told=self.arrivals_told,
        )


@dataclass
class Process:
    """A process started on a machine; `launched_us` is the true time, 0 for long ago."""

    machine: int
    launched_us: int
    listed_us: int  # the start time in the list
    alive: bool = True
    stalled_until_us: int = 0  # it reads nothing until then


@dataclass(frozen=True)
class OfferPlan:
    """The planned course of an offer: wait until the first byte, outcome (None: placed), and time until the answer."""

    wait_us: int = 0
    outcome: api.Outcome | None = None
    answer_us: int = 2 * MS


@dataclass(eq=False)
class Offer:
    placer: Placer
    request: int
    attempt: int
    machine: int
    bound_us: int
    known_start_us: int  # start of the machine that the placer knew when it bound
    plan: OfferPlan
    process: Process | None = None  # the process that received it
    informed: bool = False  # its placer knew of that process's start when it sent the first byte
    sent_us: int = 0  # time of the first byte
    placed: bool = False


@dataclass(frozen=True)
class ColdArrival:
    """An offer that arrived at a process while it was cold."""

    at_us: int
    process: Process
    placer: int
    informed: bool
    sent_us: int


def max_in_window(times: Iterable[int], span_us: int) -> int:
    """The largest number of these times within any span of that length, both ends included."""
    ordered, largest, first = sorted(times), 0, 0
    for last, at_us in enumerate(ordered):
        while ordered[first] < at_us - span_us:
            first += 1
        largest = max(largest, last - first + 1)
    return largest


@dataclass
class Placer:
    """One incarnation of a placer."""

    fleet: ColdFleet
    index: int
    delay_us: int  # until a list reaches it
    scheduler: Scheduler
    alive: bool = True
    known_machines: dict[int, api.ListedMachine] = field(default_factory=dict)
    open_offers: dict[tuple[int, int], Offer] = field(default_factory=dict)
    binds: Counter[int] = field(default_factory=Counter)

    def receive_list(self, form: api.ListForm, entries: tuple[api.ListedMachine, ...]) -> None:
        if not self.alive:
            return
        known = {} if form is not api.ListForm.CHANGES else self.known_machines
        self.known_machines = known | {each.machine: each for each in entries}
        self.feed(api.MachineList(form, entries))

    def knows_start_of(self, process: Process) -> bool:
        entry = self.known_machines.get(process.machine)
        return entry is not None and entry.launched_us >= process.listed_us

    def feed(self, event: api.Event) -> None:
        if not self.alive:
            return
        fleet = self.fleet
        for action in self.scheduler.handle(fleet.now, event):
            if isinstance(action, api.SetTimer):
                fleet.at(action.at_us, lambda name=action.name: self.feed(api.TimerDue(name)))
            elif isinstance(action, api.Bind):
                self._offer(action)
            elif isinstance(action, api.Probe):
                fleet.at(
                    fleet.now + MS, lambda ident=action.machine: fleet.answer_probe(self, ident)
                )
            elif isinstance(action, api.Move):
                moved = next(
                    (each for each in self.open_offers.values() if each.request == action.request),
                    None,
                )
                if moved is not None:
                    fleet.at(
                        fleet.now + MS,
                        lambda each=moved: self.end(each, api.Outcome.CANCELLED, True),
                    )

    def _offer(self, bind: api.Bind) -> None:
        fleet, number = self.fleet, self.binds[bind.request]
        self.binds[bind.request] += 1
        offer = Offer(
            self,
            bind.request,
            number,
            bind.machine,
            fleet.now,
            self.known_machines[bind.machine].launched_us,
            OfferPlan(),
        )
        offer.plan = fleet.plan(offer)
        self.open_offers[bind.request, number] = offer
        fleet.bound_offers.append(offer)
        fleet.at(fleet.now + offer.plan.wait_us, lambda: fleet.send(offer))
        fleet.at(bind.give_up_us, lambda: self._give_up(offer))

    def _give_up(self, offer: Offer) -> None:
        if not offer.placed:
            self.end(
                offer,
                api.Outcome.NOT_SENT if offer.process is None else api.Outcome.TIMED_OUT,
                True,
            )

    def end(self, offer: Offer, outcome: api.Outcome, closed: bool = False) -> None:
        if self.open_offers.pop((offer.request, offer.attempt), None) is not None:
            waited = self.fleet.now - offer.bound_us
            self.feed(
                api.AttemptEnded(
                    offer.request,
                    offer.attempt,
                    offer.machine,
                    outcome,
                    api.Reason.UNTOLD,
                    closed,
                    waited,
                    None,
                )
            )


class ColdFleet:
    """Placers, machines and the network between them.

    `withhold_on_restart`: an offer is not sent if its machine restarted since it was bound.
    """

    def __init__(
        self,
        rule: ColdRule,
        plan: Callable[[Offer], OfferPlan] = lambda _: OfferPlan(),
        delays: tuple[int, ...] = (0,),
        withhold_on_restart: bool = True,
    ) -> None:
        self.rule, self.plan, self.withhold_on_restart = rule, plan, withhold_on_restart
        self.now, self._queue, self._order = (
            START_US,
            list[tuple[int, int, Callable[[], None]]](),
            0,
        )
        self._list: dict[int, api.ListedMachine] = {}
        self.address: dict[int, str] = {}
        self.process: dict[str, Process] = {}
        self.bound_offers: list[Offer] = []
        self.cold_arrivals: list[ColdArrival] = []
        self.withheld: Counter[str] = Counter()
        self.all_informed_us: dict[int, int] = {}  # by process: when all placers know of it
        self.disconnect_delay_us = MS  # until a placer notices that the peer of a connection died
        self._requests = 0
        self.placers = [
            self._start_placer(index, delays[index % len(delays)], ())
            for index in range(rule.placers)
        ]

    def at(self, at_us: int, action: Callable[[], None]) -> None:
        self._order += 1
        heapq.heappush(self._queue, (max(at_us, self.now), self._order, action))

    def run(self, until_us: int) -> None:
        while self._queue and self._queue[0][0] <= until_us:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = until_us

    # -- events of placers

    def _start_placer(
        self, index: int, delay_us: int, saved: tuple[api.ListedMachine, ...]
    ) -> Placer:
        placer = Placer(
            self,
            index,
            delay_us,
            Scheduler(self.rule.settings_of(index), 7 * index + self.now % 1013),
        )
        placer.receive_list(api.ListForm.SAVED, saved)
        return placer

    def restart_placer(self, index: int) -> None:
        """Restart with the list that the former incarnation knew; the full list arrives after the usual delay."""
        old = self.placers[index]
        old.alive = False
        successor = self.placers[index] = self._start_placer(
            index, old.delay_us, tuple(old.known_machines.values())
        )
        full_list = tuple(self._list.values())
        self.at(
            self.now + successor.delay_us,
            lambda: successor.receive_list(api.ListForm.FULL, full_list),
        )
        for process in self.process.values():
            if not old.knows_start_of(process):
                self.all_informed_us[id(process)] = max(
                    self.all_informed_us[id(process)], self.now + successor.delay_us
                )

    def arrive(
        self,
        index: int,
        count: int = 1,
        cores: float = 0.01,
        wait_us: int = 5 * S,
        name: str = "web",
    ) -> None:
        for _ in range(count):
            self._requests += 1
            self.placers[index].feed(
                api.TaskArrived(
                    self._requests,
                    name,
                    f"s{self._requests % 7}",
                    f"t{self._requests}",
                    cores,
                    0.01,
                    self.now + wait_us,
                    60 * S,
                )
            )

    # -- events of machines

    def start(
        self, machine: int, address: str = "", launched_us: int | None = None, skew_us: int = 0
    ) -> Process:
        """Start a process at an address (its machine's own by default), replace the one there, and list it."""
        address = address or self.address.get(machine, f"a{machine}")
        former = self.process.get(address)
        if former is not None:
            self.kill(former)
            if former.machine != machine:
                self.delist(former.machine)
        launched = self.now if launched_us is None else launched_us
        process = self.process[address] = Process(machine, launched, launched + skew_us)
        self.address[machine] = address
        self._publish(listed(machine, launched_us=process.listed_us), process)
        return process

    def kill(self, process: Process) -> None:
        process.alive = False
        for offer in [
            each
            for placer in self.placers
            for each in placer.open_offers.values()
            if each.process is process
        ]:
            self.at(
                self.now + self.disconnect_delay_us,
                lambda each=offer: each.placer.end(each, api.Outcome.BROKEN),
            )

    def delist(self, machine: int, full_list: bool = False) -> None:
        """Remove the machine from the list; its process goes on."""
        if machine not in self._list:
            return
        if full_list:
            del self._list[machine]
            self._send_list(api.ListForm.FULL, tuple(self._list.values()))
        else:
            self._publish(replace(self._list[machine], phase=api.Phase.GONE))

    def relist(self, machine: int, shift_us: int = 0) -> None:
        """List the machine again, with the same start, or as read by a clock that was shifted meanwhile."""
        process = self.process[self.address[machine]]
        if process.machine == machine and process.alive:
            self._publish(listed(machine, launched_us=process.listed_us + shift_us))

    def _publish(self, entry: api.ListedMachine, process: Process | None = None) -> None:
        self._list[entry.machine] = entry
        self._send_list(api.ListForm.CHANGES, (entry,))
        if process is not None:
            self.all_informed_us[id(process)] = self.now + max(
                each.delay_us for each in self.placers
            )

    def _send_list(self, form: api.ListForm, entries: tuple[api.ListedMachine, ...]) -> None:
        for placer in self.placers:
            self.at(
                self.now + placer.delay_us, lambda placer=placer: placer.receive_list(form, entries)
            )

    # -- the network

    def send(self, offer: Offer) -> None:
        """Send the first byte, unless the checks withhold the offer, by what its placer knows."""
        placer, entry = offer.placer, offer.placer.known_machines.get(offer.machine)
        if (offer.request, offer.attempt) not in placer.open_offers:
            return
        cold = (
            entry is not None
            and entry.launched_us > 0
            and self.now < entry.launched_us + self.rule.cold_us
        )
        process = self.process.get(self.address.get(offer.machine, ""))
        if entry is None or entry.phase is not api.Phase.RUNNING:
            withheld = "draining"
        elif cold and self.now - offer.bound_us > self.rule.wait_us:
            withheld = "stale"
        elif cold and self.withhold_on_restart and offer.known_start_us != entry.launched_us:
            withheld = "restarted"
        else:
            withheld = ""
        if withheld:
            self.withheld[withheld] += 1
            placer.end(offer, api.Outcome.NOT_SENT)
        elif process is None or not process.alive or offer.plan.outcome is api.Outcome.UNREACHABLE:
            placer.end(offer, api.Outcome.UNREACHABLE)
        elif offer.plan.outcome is api.Outcome.NOT_SENT:
            placer.end(offer, api.Outcome.NOT_SENT)
        else:
            offer.process, offer.informed, offer.sent_us = (
                process,
                placer.knows_start_of(process),
                self.now,
            )
            self.at(process.stalled_until_us, lambda: self._arrive_at(offer, process))
            if offer.plan.outcome in (
                api.Outcome.TIMED_OUT,
                api.Outcome.BROKEN,
            ):  # no answer of the process
                self.at(self.now + offer.plan.answer_us, lambda: self._end_without_answer(offer))

    def _end_without_answer(self, offer: Offer) -> None:
        if offer.plan.outcome is not None:
            offer.placer.end(offer, offer.plan.outcome)

    def _arrive_at(self, offer: Offer, process: Process) -> None:
        if not process.alive:
            return
        if self.now < process.stalled_until_us:
            self.at(process.stalled_until_us, lambda: self._arrive_at(offer, process))
            return
        if process.launched_us and self.now < process.launched_us + self.rule.cold_us:
            self.cold_arrivals.append(
                ColdArrival(self.now, process, offer.placer.index, offer.informed, offer.sent_us)
            )
        self.at(self.now + offer.plan.answer_us, lambda: self._answer_offer(offer, process))
        if self.rule.arrivals_told:
            note = api.TaskNote(
                offer.request, offer.attempt, offer.machine, api.NoteKind.ARRIVED, 0.0
            )
            self.at(self.now + offer.plan.answer_us // 2, lambda: offer.placer.feed(note))

    def _answer_offer(self, offer: Offer, process: Process) -> None:
        if not process.alive or offer.plan.outcome in (api.Outcome.TIMED_OUT, api.Outcome.BROKEN):
            return
        if self.now < process.stalled_until_us:
            self.at(process.stalled_until_us, lambda: self._answer_offer(offer, process))
        elif offer.plan.outcome is not None:
            offer.placer.end(offer, offer.plan.outcome)
        elif (offer.request, offer.attempt) in offer.placer.open_offers:
            offer.placed = True
            offer.placer.feed(api.TaskPlaced(offer.request, offer.attempt, offer.machine, 1000))

    def answer_probe(self, placer: Placer, machine: int) -> None:
        process = self.process.get(self.address.get(machine, ""))
        if process is not None and process.alive and self.now >= process.stalled_until_us:
            placer.feed(api.Probed(machine, api.Outcome.DONE, api.Report(20.0, 40.0)))

    # -- counts

    def max_informed_arrivals(self, process: Process) -> int:
        """Most offers within a span that arrived at this process from placers that knew of its start."""
        return max_in_window(
            (
                each.at_us
                for each in self.cold_arrivals
                if each.process is process and each.informed
            ),
            self.rule.fall_us,
        )

    def max_informed_arrivals_at_machine(self, machine: int) -> int:
        """The same over all processes of a machine."""
        return max_in_window(
            (
                each.at_us
                for each in self.cold_arrivals
                if each.process.machine == machine and each.informed
            ),
            self.rule.fall_us,
        )

    def max_arrivals_after_all_informed(self, process: Process) -> int:
        """Most offers within a span from any placer, of those sent once all knew of the start."""
        return max_in_window(
            (
                each.at_us
                for each in self.cold_arrivals
                if each.process is process and each.sent_us >= self.all_informed_us[id(process)]
            ),
            self.rule.fall_us,
        )

    def cold_processes(self) -> list[Process]:
        return list({id(each.process): each.process for each in self.cold_arrivals}.values())
