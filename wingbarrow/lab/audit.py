"""The auditor: it reads the recording taken at the sockets and the settings, and counts every broken rule.

It shares no code with the core's accounting. What a placer was told counts from the moment the list source had
written it; a placer or machine that the lab held still at that moment hears when the hold ends.
"""

from __future__ import annotations

from collections import Counter, defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from wingbarrow.config import PlacerSettings
from wingbarrow.interface import Effect, Place
from wingbarrow.lab.record import Record

ANSWER_SLACK_US = 8_000
BREACHES = ("unanswered", "double_effects", "late_answers", "sends_to_draining", "cold_overruns", "spread_overruns",
            "double_answers", "sends_after_end")


@dataclass
class Audit:
    """Figures of one recording; `notes` name the first breaches."""

    accepted: int = 0
    placed: int = 0
    refused: int = 0
    failed: int = 0
    unanswered: int = 0
    double_effects: int = 0
    late_answers: int = 0
    sends_to_draining: int = 0
    cold_overruns: int = 0
    spread_overruns: int = 0
    double_answers: int = 0
    sends_after_end: int = 0
    left_to_owners: int = 0  # open when their placer was killed: theirs to ask again
    open_at_end: int = 0
    late_by_stall: int = 0  # answers whose deadline fell into a stall of their placer
    offers: int = 0
    starts: int = 0
    notes: list[str] = field(default_factory=list)

    @property
    def clean(self) -> bool:
        """Whether no rule was broken."""
        return not any(getattr(self, name) for name in BREACHES)

    def breach(self, name: str, at_us: int, words: str) -> None:
        """Count one."""
        setattr(self, name, getattr(self, name) + 1)
        if len(self.notes) < 50:
            self.notes.append(f"{at_us}: {name}: {words}")

    def line(self) -> dict[str, Any]:
        """The audit's last line."""
        return {"kind": "audit", **{key: value for key, value in vars(self).items() if key != "notes"}}


@dataclass(slots=True)
class _Job:
    placer: str
    deadline_us: int
    answers: list[tuple[int, str]] = field(default_factory=list)
    killed: bool = False


@dataclass(slots=True)
class _Offer:
    placer: str
    request: str
    service: str
    machine: str
    place: str | None


class Auditor:
    """One pass over the records, in their order."""

    def __init__(self, settings: PlacerSettings) -> None:
        self._settings = settings
        self._classes = {name: each.task_class for name, each in settings.classes.items()}
        self.audit = Audit()
        self._jobs: dict[str, _Job] = {}
        self._open: dict[str, _Offer] = {}  # offers without an answer, by pod
        self._live: dict[str, _Offer] = {}  # accepted and told so, not ended
        self._starts: Counter[str] = Counter()
        self._held: dict[str, list[tuple[int, int]]] = defaultdict(list)
        self._told: dict[tuple[str, str], tuple[str, int]] = {}  # (placer, machine): phase, since
        self._informed: dict[tuple[str, str], int] = {}  # when told of the machine's present launch
        self._cold: dict[str, deque[int]] = {}
        self._cold_until: dict[str, int] = {}
        self._launched: dict[str, int] = {}
        self._places: dict[str, tuple[str, str]] = {}
        self._spread: Counter[tuple[str, str, str]] = Counter()
        self._ended_jobs: dict[str, int] = {}  # uid: when its owner had read the refusal or failure

    def run(self, records: Iterable[Record]) -> Audit:
        """Read all records and close the books."""
        last = 0
        handlers = {"offer": self._offer, "answer": self._answer, "closed": self._closed, "start": self._start,
                    "end": self._end, "launch": self._launch, "die": self._die, "told": self._tell,
                    "hold": self._hold, "killed": self._killed, "accepted": self._accept}
        for record in records:
            last = record.at_us
            if record.what == "answer" and record.where == "owner":
                self._owner_answer(record)
            elif record.what in handlers:
                handlers[record.what](record)
        for name, job in self._jobs.items():
            self._close_job(name, job, last)
        return self.audit

    # -- rule 1

    def _accept(self, record: Record) -> None:
        data = record.data
        self.audit.accepted += 1
        self._jobs[data["uid"]] = _Job(data["placer"], data["sent_us"] + data["patience_us"])

    def _owner_answer(self, record: Record) -> None:
        job = self._jobs.get(record.data["uid"])
        answer = record.data["answer"]
        if job is None:
            return  # a Job that a restarted placer made anew; its first life's answer counts
        if not job.answers:
            job.answers.append((record.at_us, answer))
            if record.at_us > job.deadline_us + ANSWER_SLACK_US:
                # A placer that the lab holds over the deadline cannot answer in time: it owes it at once after.
                held = next((end for begin, end in self._held.get(job.placer, ())
                             if begin <= job.deadline_us <= end), 0)
                if record.at_us <= held + ANSWER_SLACK_US:
                    self.audit.late_by_stall += 1
                else:
                    self.audit.breach("late_answers", record.at_us, f"{record.data['job']} {answer}")
            if answer != "placed":
                self._ended_jobs[record.data["uid"]] = record.at_us
        elif job.answers[-1][1] != answer:
            job.answers.append((record.at_us, answer))
            self.audit.breach("double_answers", record.at_us, f"{record.data['job']} {job.answers}")

    def _close_job(self, uid: str, job: _Job, last_us: int) -> None:
        if job.answers:
            name = job.answers[0][1]
            setattr(self.audit, name, getattr(self.audit, name) + 1)
        elif job.killed:
            self.audit.left_to_owners += 1
        elif last_us <= job.deadline_us + ANSWER_SLACK_US:
            self.audit.open_at_end += 1  # the recording ends before its answer was due
        else:
            self.audit.breach("unanswered", last_us, uid)

    def _killed(self, record: Record) -> None:
        """A placer was killed: what it owed is its owners' to ask again, what it held is forgotten."""
        for job in self._jobs.values():
            if job.placer == record.where and not job.answers:
                job.killed = True
        for pod in [pod for pod, offer in self._live.items() if offer.placer == record.where]:
            self._release(self._live.pop(pod))
        for pod in [pod for pod, offer in self._open.items() if offer.placer == record.where]:
            self._release(self._open.pop(pod))
        for key in [key for key in self._told if key[0] == record.where]:
            del self._told[key]
            self._informed.pop(key, None)

    # -- offers: rules 1 to 5

    def _offer(self, record: Record) -> None:
        data, machine, now = record.data, record.where, record.at_us
        placer, pod = data["placer"], data["pod"]
        cls = self._classes.get(data["task_class"])
        self.audit.offers += 1
        request = placer + "/" + pod.rpartition("-")[0]
        held = self._hold_end(machine, now)
        if not data["late"] and held is None:
            for other, offer in self._open.items():
                if offer.request == request and other != pod:
                    self.audit.breach("double_effects", now, f"two offers of {request} out: {other}, {pod}")
        place = self._place(machine, cls.spread if cls else Place.NONE)
        offer = _Offer(placer, request, data["service"], machine, place)
        if held is None:
            self._check_drain(placer, machine, now)
            self._check_ended(data, now)
        self._check_cold(placer, machine, now)
        if not data["late"]:
            self._open[pod] = offer
            if place is not None and cls is not None:
                key = (placer, data["service"], place)
                self._spread[key] += 1
                if self._spread[key] > cls.spread_most:
                    self.audit.breach("spread_overruns", now, f"{key}: {self._spread[key]}")

    def _check_ended(self, data: dict[str, Any], now: int) -> None:
        uid = data["task"] if "uid" not in data else data["uid"]
        ended = self._ended_jobs.get(str(uid).partition("/")[0])
        if ended is not None and now > ended:
            self.audit.breach("sends_after_end", now, f"{data['pod']} of {uid}, ended at {ended}")
        job = self._jobs.get(str(uid).partition("/")[0])
        if job is not None and not job.answers and now > job.deadline_us and not data["late"]:
            self.audit.breach("sends_after_end", now, f"{data['pod']} of {uid}, past {job.deadline_us}")

    def _place(self, machine: str, scope: Place) -> str | None:
        zone, cell = self._places.get(machine, ("", ""))
        return {Place.MACHINE: machine, Place.CELL: f"{zone}/{cell}", Place.ZONE: zone}.get(scope)

    def _release(self, offer: _Offer) -> None:
        if offer.place is not None:
            self._spread[(offer.placer, offer.service, offer.place)] -= 1

    def _answer(self, record: Record) -> None:
        offer = self._open.pop(record.data["pod"], None)
        if offer is None:
            return
        if record.data["status"] == 201:
            self._live[record.data["pod"]] = offer
        else:
            self._release(offer)

    def _closed(self, record: Record) -> None:
        offer = self._open.pop(record.data["pod"], None)
        if offer is not None:
            self._release(offer)

    def _start(self, record: Record) -> None:
        self.audit.starts += 1
        task, cls = record.data["task"], self._classes.get(record.data["task_class"])
        self._starts[task] += 1
        if cls is not None and cls.effect is Effect.UNSAFE and self._starts[task] > 1:
            self.audit.breach("double_effects", record.at_us, f"{task} started {self._starts[task]} times")

    def _end(self, record: Record) -> None:
        offer = self._live.pop(record.data["pod"], None)
        if offer is not None:
            self._release(offer)

    def _launch(self, record: Record) -> None:
        machine = record.where
        self._places[machine] = (record.data["zone"], record.data["cell"])
        self._cold.pop(machine, None)
        self._cold_until.pop(machine, None)
        for key in [key for key in self._informed if key[1] == machine]:
            del self._informed[key]
        if record.data["cold"]:
            self._cold[machine] = deque()
            self._cold_until[machine] = record.at_us + self._settings.scheduler.cold_us
            self._launched[machine] = record.at_us

    def _die(self, record: Record) -> None:
        for table in (self._live, self._open):
            for pod in [pod for pod, offer in table.items() if offer.machine == record.where]:
                self._release(table.pop(pod))

    # -- what placers were told: rules 3 and 4

    def _hold(self, record: Record) -> None:
        self._held[record.where].append((record.at_us, record.at_us + record.data["for_us"]))

    def _hold_end(self, who: str, now: int) -> int | None:
        """The end of a hold of `who` that lasts at, or ended just at, this time."""
        return next((end for begin, end in self._held.get(who, ()) if begin <= now <= end + 50_000), None)

    def _tell(self, record: Record) -> None:
        data = record.data
        key = (data["placer"], data["machine"])
        held = next((end for begin, end in self._held.get(data["placer"], ()) if begin <= record.at_us <= end), 0)
        heard = max(record.at_us, held)
        phase, since = self._told.get(key, ("", 0))
        if phase != data["phase"]:
            self._told[key] = (data["phase"], heard)
        if data["launched"] and data["machine"] in self._cold:
            self._informed.setdefault(key, heard)

    def _check_drain(self, placer: str, machine: str, now: int) -> None:
        phase, since = self._told.get((placer, machine), ("running", 0))
        if phase != "running" and now > since + self._settings.drain_grace_us:
            self.audit.breach("sends_to_draining", now, f"{placer} to {machine}, told {phase} at {since}")

    def _check_cold(self, placer: str, machine: str, now: int) -> None:
        if now >= self._cold_until.get(machine, 0) or (placer, machine) not in self._informed:
            return
        offers, rules = self._cold[machine], self._settings.scheduler
        offers.append(now)
        while offers[0] <= now - rules.fall_us:
            offers.popleft()
        if len(offers) > rules.fresh_offers:
            self.audit.breach("cold_overruns", now, f"{machine}: {len(offers)} offers within the window")
            offers.clear()


def audit(records: Iterable[Record], settings: PlacerSettings) -> Audit:
    """Audit a recording."""
    return Auditor(settings).run(records)
