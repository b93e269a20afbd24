"""Leased work over all regions: starts, sends and runs past their lease, reissues, and where what ran."""

from __future__ import annotations

from wingbarrow.config import PlacerSettings, load_file
from wingbarrow.decide.coordination.messages import Timing
from wingbarrow.decide.sessions.lease_times import holder_lease_us
from wingbarrow.interface import Effect, Place
from wingbarrow.lab.fleet.judging.connectivity import MajorityContact, Reachability
from wingbarrow.lab.fleet.judging.formulas import min_reissue_delay_us
from wingbarrow.lab.fleet.judging.jobs import Job, Jobs, TaskRun
from wingbarrow.lab.fleet.judging.losses import judge_losses
from wingbarrow.lab.fleet.judging.run import NEVER, Run
from wingbarrow.lab.fleet.judging.verdict import Verdict


def judge_leases(run: Run, out: Verdict) -> None:
    """All lines that are about Jobs and regions."""
    if not run.regions:
        return
    settings, jobs, reach = (
        load_file(run.folder / f"{run.names[0]}.kdl"),
        Jobs(run),
        Reachability(run),
    )
    out.regions = sum(
        any(place[0] == region for place in run.machines.values()) for region in run.regions
    )
    out.leased = sum(
        run.specs.get(job.spec, {}).get("after_us", 0) > 0 for job in jobs.jobs.values()
    )
    out.reissued = len({(one.uid, one.epoch) for one in jobs.task_runs if one.epoch})
    _judge_starts(run, out, settings, jobs)
    _judge_regions(run, out, jobs)
    _judge_answers(out, jobs)
    LeaseOverruns(run, out, jobs, reach).judge()
    _judge_early_reissues(run, out, jobs)
    judge_losses(run, out, settings, jobs, reach)


def _judge_starts(run: Run, out: Verdict, settings: PlacerSettings, jobs: Jobs) -> None:
    """A never-twice task once over all regions; a keyed one not again within its window and group."""
    seen: dict[str, TaskRun] = {}
    for one in jobs.task_runs:
        known = settings.classes.get(one.task_class)
        effect = known.task_class.effect if known else Effect.SAFE
        if effect is Effect.UNSAFE and one.task in seen:
            out.breach(
                "double_starts",
                f"{one.at_us}: {one.task} on {one.machine}, and at {seen[one.task].at_us} on "
                f"{seen[one.task].machine}",
            )
        seen.setdefault(one.task, one)
    for job in jobs.jobs.values():
        known = settings.classes.get(job.task_class)
        if known is None or known.task_class.effect is not Effect.KEYED:
            continue
        for at, later in enumerate(job.task_runs):
            if any(
                one.epoch < later.epoch
                and later.at_us - one.at_us < known.task_class.window_us - run.slack_us
                and _same_group(run, known.task_class.group, one, later)
                for one in job.task_runs[:at]
            ):
                out.breach(
                    "double_starts",
                    f"{later.at_us}: {job.task} on {later.machine} again within its window",
                )


def _same_group(run: Run, group: Place, one: TaskRun, other: TaskRun) -> bool:
    """Whether two machines are of one group, in which a key counts."""
    length = {Place.ALL: 0, Place.ZONE: 2, Place.CELL: 3}.get(group)
    if length is None:
        return one.machine == other.machine
    return (
        run.machines.get(one.machine, [])[:length] == run.machines.get(other.machine, [])[:length]
    )


def _judge_regions(run: Run, out: Verdict, jobs: Jobs) -> None:
    for job in jobs.jobs.values():
        spec = run.specs.get(job.spec)
        for one in job.task_runs if spec else ():
            region = run.machines.get(one.machine, [""])[0]
            if spec and region not in spec["regions"]:
                out.breach(
                    "forbidden_regions",
                    f"{one.at_us}: {job.task} of spec {job.spec} on {one.machine}",
                )


def _judge_answers(out: Verdict, jobs: Jobs) -> None:
    """Two placers that answer for one Job; one that answers twice is the audit's."""
    for job in jobs.jobs.values():
        for placer in sorted({by for _, by, _ in job.answers} - {job.placer}):
            out.breach(
                "double_answers",
                f"{job.answers[0][0]}: {job.task} was accepted by {job.placer} and answered "
                f"by {placer}",
            )


class LeaseOverruns:
    """Sends and runs past their lease: by what machines told, and by when a session could be renewed at all.

    A session cannot be renewed while its holder hears of no leader with a majority, or is stopped; nor once its
    process has ended.
    """

    def __init__(self, run: Run, out: Verdict, jobs: Jobs, reach: Reachability) -> None:
        self._run, self._out, self._jobs, self._reach = run, out, jobs, reach

    def judge(self) -> None:
        """Judge them."""
        run, right = self._run, holder_lease_us(self._run.lease_us) + self._run.slack_us
        for each in run.records:
            data = each.data
            if each.what == "offer" and data.get("session") and not data["late"]:
                told = data.get("until_us", 0)
                if (told and each.at_us > told + run.slack_us) or any(
                    begin + right < each.at_us < end
                    for begin, end in self._unrenewable_spans(data["session"])
                ):
                    self._out.breach(
                        "past_lease",
                        f"{each.at_us}: {data['placer']} sent {data['pod']} past its lease",
                    )
        last = max([run.end_us, *(each.at_us for each in run.records)])
        for one in self._jobs.task_runs:
            end = min(one.end_us, last)
            if one.session and self._outlived_lease(one, end):
                self._out.breach(
                    "past_lease", f"{end}: {one.pod} ran on {one.machine} past its lease"
                )

    def _outlived_lease(self, one: TaskRun, end_us: int) -> bool:
        most = self._run.lease_us + self._run.slack_us
        if (
            one.end_us != NEVER
            and one.lease_until_us
            and one.end_us > one.lease_until_us + self._run.slack_us
        ):
            return True
        return any(
            max(one.at_us, begin + most) < min(end_us, end)
            for begin, end in self._unrenewable_spans(one.session)
        )

    def _unrenewable_spans(self, session: str) -> list[tuple[int, int]]:
        placer = session.rsplit("/", 2)[0]
        lifetime = self._run.lifetime_at(placer, self._jobs.first_seen_us(session))
        if lifetime is None:
            return []
        return [
            (begin, end)
            for begin, end in self._reach.unreachable_spans(placer)
            if begin < lifetime.end_us
        ] + [(lifetime.end_us, NEVER)]


def _judge_early_reissues(run: Run, out: Verdict, jobs: Jobs) -> None:
    """A start under a later epoch while a machine still holds the former one's lease, or before it can have ended."""
    touch, grants = MajorityContact(run), Timing().reacquire_us()
    ended: dict[str, int] = {}
    for _, each in run.history_entries("session-ended"):
        ended.setdefault(each["session"], each["at_us"])
    afters = [each["after_us"] for each in run.specs.values() if each["after_us"]]
    for job in jobs.jobs.values():
        for later in job.task_runs:
            held = max(
                (
                    until
                    for at, epoch, until, _ in _lease_copies(job)
                    if epoch < later.epoch and at <= later.at_us
                ),
                default=0,
            )
            if later.at_us < held - run.slack_us:
                out.breach(
                    "early_reissues",
                    f"{later.at_us}: {job.task} on {later.machine}, leased until {held} to "
                    "one before",
                )
                continue
            for session in {
                session
                for _, epoch, _, session in _lease_copies(job)
                if session and epoch < later.epoch
            }:
                holder, until = (
                    session.rsplit("/", 2)[0],
                    min(later.at_us, ended.get(session, NEVER)),
                )
                lifetime = run.lifetime_at(holder, jobs.first_seen_us(session))
                if lifetime is None:
                    continue
                # A later lifetime proves that this one is over: its session ends without `after`.
                anew = run.lifetime_at(holder, until) != lifetime
                least = min_reissue_delay_us(
                    run.lease_us, 0 if anew else min(afters, default=0), Timing()
                )
                well = touch.latest(holder, min(until, lifetime.end_us), lifetime.begin_us, grants)
                if well is not None and later.at_us < well + least - run.slack_us:
                    out.breach(
                        "early_reissues",
                        f"{later.at_us}: {job.task} on {later.machine}, though {holder} was "
                        f"in touch until {well}",
                    )
                    break


def _lease_copies(job: Job) -> list[tuple[int, int, int, str]]:
    """What machines told of a Job's offers and runs: (when, epoch, leased until, session)."""
    return [
        *(
            (
                each.at_us,
                each.data.get("epoch", 0),
                each.data.get("until_us", 0),
                each.data.get("session", ""),
            )
            for each in job.offers
        ),
        *((one.at_us, one.epoch, one.lease_until_us, one.session) for one in job.task_runs),
    ]
