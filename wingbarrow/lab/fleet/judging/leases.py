"""Judges leased work over all regions: repeated starts, offers and runs past their lease, reissues, and regions."""

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
    """Judge all breaches that concern Jobs and regions; without regions none."""
    if not run.regions:
        return
    settings = load_file(run.folder / f"{run.names[0]}.kdl")
    jobs = Jobs(run)
    reachability = Reachability(run)
    out.regions = sum(
        any(place[0] == region for place in run.machines.values()) for region in run.regions
    )
    out.leased = sum(
        run.specs.get(job.spec, {}).get("after_us", 0) > 0 for job in jobs.by_uid.values()
    )
    out.reissued = len(
        {(task_run.uid, task_run.epoch) for task_run in jobs.task_runs if task_run.epoch}
    )
    _judge_starts(run, out, settings, jobs)
    _judge_regions(run, out, jobs)
    _judge_answers(out, jobs)
    LeaseOverruns(run, out, jobs, reachability).judge()
    _judge_early_reissues(run, out, jobs)
    judge_losses(run, out, settings, jobs, reachability)


def _judge_starts(run: Run, out: Verdict, settings: PlacerSettings, jobs: Jobs) -> None:
    """Checks that an unsafe task starts once over all regions, and a keyed one once within its window and group."""
    seen: dict[str, TaskRun] = {}
    for task_run in jobs.task_runs:
        known = settings.classes.get(task_run.task_class)
        effect = known.task_class.effect if known else Effect.SAFE
        if effect is Effect.UNSAFE and task_run.task in seen:
            out.breach(
                "double_starts",
                f"{task_run.at_us}: {task_run.task} on {task_run.machine}, and at {seen[task_run.task].at_us} on "
                f"{seen[task_run.task].machine}",
            )
        seen.setdefault(task_run.task, task_run)
    for job in jobs.by_uid.values():
        known = settings.classes.get(job.task_class)
        if known is None or known.task_class.effect is not Effect.KEYED:
            continue
        for at, later in enumerate(job.task_runs):
            if any(
                task_run.epoch < later.epoch
                and later.at_us - task_run.at_us < known.task_class.window_us - run.slack_us
                and _same_group(run, known.task_class.group, task_run, later)
                for task_run in job.task_runs[:at]
            ):
                out.breach(
                    "double_starts",
                    f"{later.at_us}: {job.task} on {later.machine} again within its window",
                )


def _same_group(run: Run, group: Place, task_run: TaskRun, other: TaskRun) -> bool:
    """Whether the machines of two runs belong to one group, within which a task's key is unique."""
    length = {Place.ALL: 0, Place.ZONE: 2, Place.CELL: 3}.get(group)
    if length is None:
        return task_run.machine == other.machine
    return (
        run.machines.get(task_run.machine, [])[:length]
        == run.machines.get(other.machine, [])[:length]
    )


def _judge_regions(run: Run, out: Verdict, jobs: Jobs) -> None:
    for job in jobs.by_uid.values():
        spec = run.specs.get(job.spec)
        for task_run in job.task_runs if spec else ():
            region = run.machines.get(task_run.machine, [""])[0]
            if spec and region not in spec["regions"]:
                out.breach(
                    "forbidden_regions",
                    f"{task_run.at_us}: {job.task} of spec {job.spec} on {task_run.machine}",
                )


def _judge_answers(out: Verdict, jobs: Jobs) -> None:
    """Checks that only one placer answers for a Job; the audit counts repeated answers of one placer."""
    for job in jobs.by_uid.values():
        for placer in sorted({by for _, by, _ in job.answers} - {job.placer}):
            out.breach(
                "double_answers",
                f"{job.answers[0][0]}: {job.task} was accepted by {job.placer} and answered "
                f"by {placer}",
            )


class LeaseOverruns:
    """Finds offers and runs past their lease, by the machines' records and by when their session could be renewed.

    A session cannot be renewed while its holder cannot reach a leader with a majority, or while its process is
    stopped or has ended.
    """

    def __init__(self, run: Run, out: Verdict, jobs: Jobs, reachability: Reachability) -> None:
        self._run, self._out, self._jobs, self._reachability = run, out, jobs, reachability

    def judge(self) -> None:
        """Judge all offers and runs under a session."""
        run, holder_us = self._run, holder_lease_us(self._run.lease_us) + self._run.slack_us
        for each in run.records:
            data = each.data
            if each.what == "offer" and data.get("session") and not data["late"]:
                lease_until = data.get("until_us", 0)
                if (lease_until and each.at_us > lease_until + run.slack_us) or any(
                    begin + holder_us < each.at_us < end
                    for begin, end in self._unrenewable_spans(data["session"])
                ):
                    self._out.breach(
                        "past_lease",
                        f"{each.at_us}: {data['placer']} sent {data['pod']} past its lease",
                    )
        last = max([run.end_us, *(each.at_us for each in run.records)])
        for task_run in self._jobs.task_runs:
            end = min(task_run.end_us, last)
            if task_run.session and self._outlived_lease(task_run, end):
                self._out.breach(
                    "past_lease", f"{end}: {task_run.pod} ran on {task_run.machine} past its lease"
                )

    def _outlived_lease(self, task_run: TaskRun, end_us: int) -> bool:
        max_lease_us = self._run.lease_us + self._run.slack_us
        if (
            task_run.end_us != NEVER
            and task_run.lease_until_us
            and task_run.end_us > task_run.lease_until_us + self._run.slack_us
        ):
            return True
        return any(
            max(task_run.at_us, begin + max_lease_us) < min(end_us, end)
            for begin, end in self._unrenewable_spans(task_run.session)
        )

    def _unrenewable_spans(self, session: str) -> list[tuple[int, int]]:
        placer = session.rsplit("/", 2)[0]
        lifetime = self._run.lifetime_at(placer, self._jobs.first_seen_us(session))
        if lifetime is None:
            return []
        return [
            (begin, end)
            for begin, end in self._reachability.unreachable_spans(placer)
            if begin < lifetime.end_us
        ] + [(lifetime.end_us, NEVER)]


def _judge_early_reissues(run: Run, out: Verdict, jobs: Jobs) -> None:
    """Finds starts under a later epoch while a machine holds a former lease, or before its session can have ended."""
    contact, reacquire_us = MajorityContact(run), Timing().reacquire_us()
    ended: dict[str, int] = {}
    for _, each in run.history_entries("session-ended"):
        ended.setdefault(each["session"], each["at_us"])
    afters = [each["after_us"] for each in run.specs.values() if each["after_us"]]
    for job in jobs.by_uid.values():
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
                    f"{later.at_us}: {job.task} on {later.machine}, leased until {held} "
                    "under an earlier epoch",
                )
                continue
            for session in {
                session
                for _, epoch, _, session in _lease_copies(job)
                if session and epoch < later.epoch
            }:
                holder = session.rsplit("/", 2)[0]
                until = min(later.at_us, ended.get(session, NEVER))
                lifetime = run.lifetime_at(holder, jobs.first_seen_us(session))
                if lifetime is None:
                    continue
                # A later lifetime of the holder proves that its former process has ended: the session then ends without
                # waiting for `after`.
                restarted = run.lifetime_at(holder, until) != lifetime
                least_us = min_reissue_delay_us(
                    run.lease_us, 0 if restarted else min(afters, default=0), Timing()
                )
                contact_us = contact.latest(
                    holder, min(until, lifetime.end_us), lifetime.begin_us, reacquire_us
                )
                if contact_us is not None and later.at_us < contact_us + least_us - run.slack_us:
                    out.breach(
                        "early_reissues",
                        f"{later.at_us}: {job.task} on {later.machine}, though {holder} was "
                        f"in contact until {contact_us}",
                    )
                    break


def _lease_copies(job: Job) -> list[tuple[int, int, int, str]]:
    """The leases in the machines' records of a Job's offers and runs: (time, epoch, lease end, session)."""
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
        *(
            (task_run.at_us, task_run.epoch, task_run.lease_until_us, task_run.session)
            for task_run in job.task_runs
        ),
    ]
