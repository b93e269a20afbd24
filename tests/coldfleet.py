"""A model of rule 4: real schedulers, one a placer, around machines that have just started; see test_cold_fleet.py.

Lists reach each placer late. An offer waits for its connection, passes a gate and reaches whatever process listens at
its machine's address by then. What reached a process while it was cold is recorded, and counted apart from the module.
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
class Rule:
    """Rule 4's figures and how many placers share them."""

    placers: int
    fresh_offers: float
    cold_us: int = 18 * S
    fall_us: int = 2 * S
    arrivals_told: bool = False

    @property
    def bound(self) -> int:
        """Offers within any span of `fall_us` from placers that have been told of the start."""
        return floor(self.fresh_offers)

    @property
    def fall(self) -> float:
        """More offers than this within a span push the machine over."""
        return self.fresh_offers + 2 * sqrt(self.fresh_offers) + 2

    @property
    def wait_us(self) -> int:
        """How long an offer to a cold machine may wait for its connection."""
        return self.fall_us // 8

    def config(self, index: int) -> api.Settings:
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
    """A start of a machine; `launched_us` is the true time, 0 for long ago."""

    machine: int
    launched_us: int
    listed_us: int  # what the list says of that time
    alive: bool = True
    still_until_us: int = 0  # until then it reads nothing


@dataclass(frozen=True)
class Fate:
    """What becomes of an offer: its wait until the first byte, then its outcome (None: placed) and when that comes."""

    wait_us: int = 0
    outcome: api.Outcome | None = None
    answer_us: int = 2 * MS


@dataclass(eq=False)
class Offer:
    placer: Placer
    request: int
    attempt: int
    machine: int
    decided_us: int
    chosen_us: int  # the machine's start as the placer knew it on choosing
    fate: Fate
    process: Process | None = None  # which took its bytes
    told: bool = False  # its placer knew of that process's start when the first byte went out
    sent_us: int = 0  # then
    placed: bool = False


@dataclass(frozen=True)
class Reached:
    """An offer that reached a process while it was cold."""

    at_us: int
    process: Process
    placer: int
    told: bool
    sent_us: int


def most_within(times: Iterable[int], span_us: int) -> int:
    """The most of these times that any span of that length holds, both its ends counted."""
    ordered, most, first = sorted(times), 0, 0
    for last, at_us in enumerate(ordered):
        while ordered[first] < at_us - span_us:
            first += 1
        most = max(most, last - first + 1)
    return most


@dataclass
class Placer:
    """One life of a placer."""

    fleet: ColdFleet
    index: int
    delay_us: int  # of what the list tells it
    scheduler: Scheduler
    alive: bool = True
    told: dict[int, api.ListedMachine] = field(default_factory=dict)
    out: dict[tuple[int, int], Offer] = field(default_factory=dict)
    binds: Counter[int] = field(default_factory=Counter)

    def hear(self, form: api.ListForm, entries: tuple[api.ListedMachine, ...]) -> None:
        if not self.alive:
            return
        known = {} if form is not api.ListForm.CHANGES else self.told
        self.told = known | {each.machine: each for each in entries}
        self.feed(api.MachineList(form, entries))

    def knows(self, process: Process) -> bool:
        entry = self.told.get(process.machine)
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
                fleet.at(fleet.now + MS, lambda ident=action.machine: fleet.probed(self, ident))
            elif isinstance(action, api.Move):
                moved = next(
                    (each for each in self.out.values() if each.request == action.request), None
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
            self.told[bind.machine].launched_us,
            Fate(),
        )
        offer.fate = fleet.fate(offer)
        self.out[bind.request, number] = offer
        fleet.decided.append(offer)
        fleet.at(fleet.now + offer.fate.wait_us, lambda: fleet.send(offer))
        fleet.at(bind.give_up_us, lambda: self._give_up(offer))

    def _give_up(self, offer: Offer) -> None:
        if not offer.placed:
            self.end(
                offer,
                api.Outcome.NOT_SENT if offer.process is None else api.Outcome.TIMED_OUT,
                True,
            )

    def end(self, offer: Offer, outcome: api.Outcome, closed: bool = False) -> None:
        if self.out.pop((offer.request, offer.attempt), None) is not None:
            waited = self.fleet.now - offer.decided_us
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
    """Placers, machines and the wire between them; `held_on_restart`: the gate asks for the start on choosing."""

    def __init__(
        self,
        rule: Rule,
        fate: Callable[[Offer], Fate] = lambda _: Fate(),
        delays: tuple[int, ...] = (0,),
        held_on_restart: bool = True,
    ) -> None:
        self.rule, self.fate, self.held_on_restart = rule, fate, held_on_restart
        self.now, self._queue, self._order = (
            START_US,
            list[tuple[int, int, Callable[[], None]]](),
            0,
        )
        self._list: dict[int, api.ListedMachine] = {}
        self.address: dict[int, str] = {}
        self.process: dict[str, Process] = {}
        self.decided: list[Offer] = []
        self.reached: list[Reached] = []
        self.held: Counter[str] = Counter()
        self.told_us: dict[int, int] = {}  # per process: when the last placer was told of it
        self.quiet_us = MS  # until a placer hears that a connection's other end has died
        self._requests = 0
        self.placers = [
            self._life(index, delays[index % len(delays)], ()) for index in range(rule.placers)
        ]

    def at(self, at_us: int, do: Callable[[], None]) -> None:
        self._order += 1
        heapq.heappush(self._queue, (max(at_us, self.now), self._order, do))

    def run(self, until_us: int) -> None:
        while self._queue and self._queue[0][0] <= until_us:
            self.now, _, do = heapq.heappop(self._queue)
            do()
        self.now = until_us

    # -- what happens to placers

    def _life(self, index: int, delay_us: int, saved: tuple[api.ListedMachine, ...]) -> Placer:
        placer = Placer(
            self, index, delay_us, Scheduler(self.rule.config(index), 7 * index + self.now % 1013)
        )
        placer.hear(api.ListForm.SAVED, saved)
        return placer

    def restart_placer(self, index: int) -> None:
        """Another life with the list as the former one knew it; the whole list comes as late as ever."""
        old = self.placers[index]
        old.alive = False
        fresh = self.placers[index] = self._life(index, old.delay_us, tuple(old.told.values()))
        whole = tuple(self._list.values())
        self.at(self.now + fresh.delay_us, lambda: fresh.hear(api.ListForm.FULL, whole))
        for process in self.process.values():
            if not old.knows(process):
                self.told_us[id(process)] = max(
                    self.told_us[id(process)], self.now + fresh.delay_us
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

    # -- what happens to machines

    def start(
        self, machine: int, address: str = "", launched_us: int | None = None, skew_us: int = 0
    ) -> Process:
        """A process comes up at an address (its machine's own), in place of the one there; the list tells of it."""
        address = address or self.address.get(machine, f"a{machine}")
        former = self.process.get(address)
        if former is not None:
            self.kill(former)
            if former.machine != machine:
                self.leave(former.machine)
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
            for each in placer.out.values()
            if each.process is process
        ]:
            self.at(
                self.now + self.quiet_us,
                lambda each=offer: each.placer.end(each, api.Outcome.BROKEN),
            )

    def leave(self, machine: int, whole: bool = False) -> None:
        """Off the list; its process goes on."""
        if machine not in self._list:
            return
        if whole:
            del self._list[machine]
            self._tell(api.ListForm.FULL, tuple(self._list.values()))
        else:
            self._publish(replace(self._list[machine], phase=api.Phase.GONE))

    def come_back(self, machine: int, shift_us: int = 0) -> None:
        """On the list (again), its start told as before, or as read by a clock that was shifted meanwhile."""
        process = self.process[self.address[machine]]
        if process.machine == machine and process.alive:
            self._publish(listed(machine, launched_us=process.listed_us + shift_us))

    def _publish(self, entry: api.ListedMachine, process: Process | None = None) -> None:
        self._list[entry.machine] = entry
        self._tell(api.ListForm.CHANGES, (entry,))
        if process is not None:
            self.told_us[id(process)] = self.now + max(each.delay_us for each in self.placers)

    def _tell(self, form: api.ListForm, entries: tuple[api.ListedMachine, ...]) -> None:
        for placer in self.placers:
            self.at(self.now + placer.delay_us, lambda placer=placer: placer.hear(form, entries))

    # -- the wire

    def send(self, offer: Offer) -> None:
        """The first byte is due: the gate is asked, by what the placer knows."""
        placer, entry = offer.placer, offer.placer.told.get(offer.machine)
        if (offer.request, offer.attempt) not in placer.out:
            return
        cold = (
            entry is not None
            and entry.launched_us > 0
            and self.now < entry.launched_us + self.rule.cold_us
        )
        process = self.process.get(self.address.get(offer.machine, ""))
        if entry is None or entry.phase is not api.Phase.RUNNING:
            held = "draining"
        elif cold and self.now - offer.decided_us > self.rule.wait_us:
            held = "stale"
        elif cold and self.held_on_restart and offer.chosen_us != entry.launched_us:
            held = "restarted"
        else:
            held = ""
        if held:
            self.held[held] += 1
            placer.end(offer, api.Outcome.NOT_SENT)
        elif process is None or not process.alive or offer.fate.outcome is api.Outcome.UNREACHABLE:
            placer.end(offer, api.Outcome.UNREACHABLE)
        elif offer.fate.outcome is api.Outcome.NOT_SENT:
            placer.end(offer, api.Outcome.NOT_SENT)
        else:
            offer.process, offer.told, offer.sent_us = process, placer.knows(process), self.now
            self.at(process.still_until_us, lambda: self._reach(offer, process))
            if offer.fate.outcome in (
                api.Outcome.TIMED_OUT,
                api.Outcome.BROKEN,
            ):  # not the process's word
                self.at(self.now + offer.fate.answer_us, lambda: self._cut(offer))

    def _cut(self, offer: Offer) -> None:
        if offer.fate.outcome is not None:
            offer.placer.end(offer, offer.fate.outcome)

    def _reach(self, offer: Offer, process: Process) -> None:
        if not process.alive:
            return
        if self.now < process.still_until_us:
            self.at(process.still_until_us, lambda: self._reach(offer, process))
            return
        if process.launched_us and self.now < process.launched_us + self.rule.cold_us:
            self.reached.append(
                Reached(self.now, process, offer.placer.index, offer.told, offer.sent_us)
            )
        self.at(self.now + offer.fate.answer_us, lambda: self._answer(offer, process))
        if self.rule.arrivals_told:
            note = api.TaskNote(
                offer.request, offer.attempt, offer.machine, api.NoteKind.ARRIVED, 0.0
            )
            self.at(self.now + offer.fate.answer_us // 2, lambda: offer.placer.feed(note))

    def _answer(self, offer: Offer, process: Process) -> None:
        if not process.alive or offer.fate.outcome in (api.Outcome.TIMED_OUT, api.Outcome.BROKEN):
            return
        if self.now < process.still_until_us:
            self.at(process.still_until_us, lambda: self._answer(offer, process))
        elif offer.fate.outcome is not None:
            offer.placer.end(offer, offer.fate.outcome)
        elif (offer.request, offer.attempt) in offer.placer.out:
            offer.placed = True
            offer.placer.feed(api.TaskPlaced(offer.request, offer.attempt, offer.machine, 1000))

    def probed(self, placer: Placer, machine: int) -> None:
        process = self.process.get(self.address.get(machine, ""))
        if process is not None and process.alive and self.now >= process.still_until_us:
            placer.feed(api.Probed(machine, api.Outcome.DONE, api.Report(20.0, 40.0)))

    # -- the count

    def told_within(self, process: Process) -> int:
        """The most offers within a span that reached this start from placers that knew of it."""
        return most_within(
            (each.at_us for each in self.reached if each.process is process and each.told),
            self.rule.fall_us,
        )

    def told_within_machine(self, machine: int) -> int:
        """The same over all starts of a machine."""
        return most_within(
            (each.at_us for each in self.reached if each.process.machine == machine and each.told),
            self.rule.fall_us,
        )

    def all_within(self, process: Process) -> int:
        """The same, from anyone, of those sent once all had been told."""
        return most_within(
            (
                each.at_us
                for each in self.reached
                if each.process is process and each.sent_us >= self.told_us[id(process)]
            ),
            self.rule.fall_us,
        )

    def starts(self) -> list[Process]:
        return list({id(each.process): each.process for each in self.reached}.values())
