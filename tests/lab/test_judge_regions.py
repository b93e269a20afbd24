"""The judge's checks over regions: each kind of breach is found, and records that only resemble one are not counted."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from tests.lab.made import AGREE, Made, S
from wingbarrow.lab.fleet.judge import judge
from wingbarrow.lab.fleet.judging.verdict import Verdict

CLASSES = """class "tracked" effect="safe" patience="5s"
class "parcel" effect="keyed" group="all" window="15s" patience="5s"
"""
LEASE, AFTER = 10.0, 12.0
HOLDER = "placer-0/1/1"  # of north
NORTH, SOUTH, WEST = "node-n-0", "node-s-0", "node-w-0"


@pytest.fixture
def made(tmp_path: Path) -> Made:
    """Three regions with a placer and four machines of two cells each."""
    machines = {
        f"node-{region[0]}-{at}": [region, f"{region}-hall-a", f"rack-{at // 2}"]
        for region in ("north", "south", "west")
        for at in range(4)
    }
    every, spec = ["north", "south", "west"], {"after_us": int(AFTER * 1e6)}
    return Made(
        tmp_path,
        3,
        200,
        AGREE.replace("most=40", "most=4000") + CLASSES,
        regions={"north": ["placer-0"], "south": ["placer-1"], "west": ["placer-2"]},
        machines=machines,
        size={"placers": 3, "lease_s": LEASE},
        specs={
            "steady": {"regions": every, **spec},
            "books": {"regions": every, **spec},
            "homebound": {"regions": ["north", "south"], "after_us": 0},
        },
        class_specs={"tracked": "steady", "parcel": "steady", "settlement": "books"},
    )


class Task:
    """The records of one Job, which is accepted and answered `placed`; `run` adds runs of it."""

    def __init__(
        self,
        made: Made,
        name: str,
        task_class: str = "tracked",
        placer: str = "placer-0",
        at_s: float = 50,
        federation: str = "",
    ) -> None:
        self.made, self.name, self.task_class = made, name, task_class
        made.record(
            at_s,
            "owner",
            "accepted",
            placer=placer,
            job=name,
            uid=f"u-{name}",
            task=name,
            task_class=task_class,
            patience_us=5_000_000,
            sent_us=int(at_s * 1e6),
            federation=federation,
        )
        made.record(
            at_s + 1,
            "owner",
            "answer",
            placer=placer,
            job=name,
            uid=f"u-{name}",
            answer="placed",
            failed="",
        )

    def run(
        self,
        at_s: float,
        machine: str,
        until_s: float | None = None,
        why: str = "done",
        session: str = HOLDER,
        epoch: int = 0,
        leased_s: float = 0.0,
    ) -> None:
        """Records an offer at a machine, its start, and its end at `until_s` if given.

        The lease ends at `leased_s`, or `LEASE` after the offer if that is 0.
        """
        data: dict[str, Any] = {
            "pod": f"{self.name}-{epoch}-{at_s}",
            "task": self.name,
            "task_class": self.task_class,
            "uid": f"u-{self.name}",
        }
        lease = {
            "session": session,
            "epoch": epoch,
            "until_us": int((leased_s or at_s + LEASE) * 1e6),
        }
        self.made.record(
            at_s,
            machine,
            "offer",
            placer=session.partition("/")[0],
            service="s",
            late=False,
            rules="e1",
            **data,
            **lease,
        )
        self.made.record(at_s, machine, "answer", pod=data["pod"], status=201, reason="")
        self.made.record(at_s, machine, "start", warm=True, **data, **lease)
        if until_s is not None:
            self.made.record(until_s, machine, "end", pod=data["pod"], why=why, **lease)


def judged(made: Made) -> Verdict:
    """The verdict on the run."""
    return judge(made.written())


def breaches_of(made: Made) -> dict[str, int]:
    """The counts of breaches that are not 0, by name."""
    verdict = judged(made)
    return {name: getattr(verdict, name) for name in verdict.broken}


def kill_north_placer(made: Made, at_s: float = 60.0) -> None:
    """Records that north's only placer is killed, and that the others declare it dead 10 s later."""
    made.event(at_s, "killed", who="placer-0", life=1)
    made.record(at_s, "placer-0", "killed")
    for name in ("placer-1", "placer-2"):
        made.history(at_s + 10, name, "member-dead", member="placer-0")


def restart_north_placer(made: Made, at_s: float) -> None:
    """Records that north's placer starts again, and that the others see its restart 10 s later."""
    made.event(at_s, "started", who="placer-0", life=2)
    for name in ("placer-1", "placer-2"):
        made.history(at_s + 10, name, "member-restarted", member="placer-0")


def test_a_calm_day_breaks_nothing_and_is_counted(made: Made) -> None:
    Task(made, "a").run(51, NORTH, 56)
    Task(made, "b", "settlement").run(51, NORTH, 56)
    Task(made, "c", "web", federation="homebound").run(51, SOUTH, 56, session="", leased_s=56)
    verdict = judged(made)
    assert verdict.clean, verdict.notes
    assert (verdict.regions, verdict.leased, verdict.reissued, verdict.turns) == (3, 2, 0, 0)
    assert verdict.line()["stated_reissue_ms"] > AFTER * 1000


def test_a_never_twice_task_that_starts_in_two_regions_is_found(made: Made) -> None:
    kill_north_placer(made)
    task = Task(made, "a", "settlement")
    task.run(51, NORTH, 60, "died", leased_s=61)
    task.run(150, SOUTH, 155, session="placer-1/1/1", epoch=1)
    assert breaches_of(made) == {"double_starts": 1}
    made.records = [each for each in made.records if each["where"] != SOUTH]
    assert not breaches_of(made)


def test_a_keyed_task_again_within_its_window_is_found(made: Made) -> None:
    kill_north_placer(made)
    task = Task(made, "a", "parcel", at_s=58)
    task.run(59, NORTH, 62, "died", leased_s=69)
    task.run(90, SOUTH, 95, session="placer-1/1/1", epoch=1)
    assert not breaches_of(made)
    near = Task(made, "b", "parcel", at_s=88)
    near.run(89, SOUTH, 90, "died", session="placer-1/1/1", epoch=1)
    near.run(95, WEST, 98, session="placer-2/1/1", epoch=2)
    # An early reissue is counted, too: south's session never ended, and its machine's lease lasts until 99 s.
    assert breaches_of(made)["double_starts"] == 1


def test_a_run_beyond_what_its_machine_was_told_is_found(made: Made) -> None:
    Task(made, "a").run(51, NORTH, 60.9, "lease", leased_s=60.8)
    assert not breaches_of(made)
    Task(made, "b").run(51, NORTH, 61.5, "done", leased_s=61)
    assert breaches_of(made) == {"past_lease": 1}


def test_a_run_beyond_what_can_have_been_renewed_is_found_whatever_the_machine_says(
    made: Made,
) -> None:
    made.fault(60, 84, "cut-region", "north")
    Task(made, "a").run(51, NORTH, 70, "lease", leased_s=70)
    assert not breaches_of(made)
    Task(made, "b").run(51, NORTH, 75, "done", leased_s=75)
    assert breaches_of(made) == {"past_lease": 1}
    made.records = [each for each in made.records if each["what"] != "end"]
    assert breaches_of(made)["past_lease"] == 2, "both runs have no end in the records"


def test_a_run_that_outlives_its_process_by_more_than_its_lease_is_found(made: Made) -> None:
    kill_north_placer(made)
    restart_north_placer(made, 64)
    Task(made, "a").run(51, NORTH, 69, "lease", leased_s=69)
    Task(made, "b").run(51, NORTH, 90, "done", leased_s=90)
    Task(made, "c", at_s=66).run(67, NORTH, 90, "done", session="placer-0/2/1", leased_s=90)
    assert breaches_of(made) == {"past_lease": 1}


@pytest.mark.parametrize(("at_s", "count"), [(67, 0), (68.1, 0), (69, 1), (80, 2)])
def test_a_send_by_a_holder_that_was_out_of_reach_for_longer_than_its_right_is_found(
    made: Made, at_s: float, count: int
) -> None:
    made.event(60, "stopped", who="placer-0")
    made.event(67, "continued", who="placer-0")
    made.fault(60, 100, "isolate", "placer-0")
    Task(made, "a", at_s=59).run(at_s, NORTH, at_s + 0.1, leased_s=90)
    assert breaches_of(made).get("past_lease", 0) == count, (
        "the run of the last case exceeds the whole lease, too"
    )


def test_a_send_after_what_the_machine_was_told_is_found(made: Made) -> None:
    Task(made, "a").run(62, NORTH, 62.1, "lease", leased_s=61)
    assert breaches_of(made)["past_lease"] == 2, "the offer, and the run"


@pytest.mark.parametrize("kind", ["slow-region", "cut"])
def test_links_that_may_have_carried_a_renewal_excuse_a_run(made: Made, kind: str) -> None:
    """A slow link, or a cut between two of three placers, may still carry a renewal."""
    made.fault(60, 100, kind, *(("north",) if kind == "slow-region" else ("placer-0", "placer-1")))
    Task(made, "a").run(51, NORTH, 90, "done", leased_s=90)
    assert not breaches_of(made)


def test_a_start_while_a_machine_holds_the_former_lease_is_found(made: Made) -> None:
    kill_north_placer(made)
    task = Task(made, "a")
    task.run(51, NORTH, leased_s=69.5)
    task.run(69, SOUTH, 80, session="placer-1/1/1", epoch=1)
    assert breaches_of(made)["early_reissues"] == 1


@pytest.mark.parametrize(("at_s", "early"), [(68, 1), (72, 0)])
def test_a_start_before_the_voters_can_have_ended_the_session_is_found(
    made: Made, at_s: float, early: int
) -> None:
    """The earliest is `after` from the last grant, which is at most one grant older than the last contact."""
    kill_north_placer(made)
    task = Task(made, "a")
    task.run(51, NORTH, 60.5, "died", leased_s=60.9)
    task.run(at_s, SOUTH, 80, session="placer-1/1/1", epoch=1)
    assert breaches_of(made).get("early_reissues", 0) == early


def test_a_start_after_an_end_that_was_decided_in_a_cut_is_no_early_one(made: Made) -> None:
    made.fault(60, 75, "cut-region", "north")
    made.history(
        73.5,
        "placer-1",
        "session-ended",
        session=HOLDER,
        epoch=1,
        region="north",
        batches=[["placer-1"]],
    )
    task = Task(made, "a")
    task.run(51, NORTH, 69, "lease", leased_s=69)
    task.run(90, SOUTH, 95, session="placer-1/1/1", epoch=1)
    assert not breaches_of(made)
    made.histories["placer-1"].pop()
    assert breaches_of(made) == {"early_reissues": 1}, (
        "the holder was in contact again for long, and no history has an earlier end of its session"
    )


def test_safe_work_of_a_lost_region_that_does_not_run_again_is_found(made: Made) -> None:
    kill_north_placer(made)
    for name in "abcd":
        Task(made, name).run(51, NORTH, 69, "lease", leased_s=69)
    over, again = Task(made, "over"), Task(made, "again")
    over.run(51, NORTH, 65, "done", leased_s=69)
    again.run(51, NORTH, 69, "lease", leased_s=69)
    again.run(75, SOUTH, 90, session="placer-1/1/1", epoch=1)
    verdict = judged(made)
    assert verdict.lost_runs == 4
    assert verdict.longest_reissue_ms == 15_000
    stated_s = verdict.stated_reissue_ms / 1000
    late = Task(made, "late")
    late.run(51, NORTH, 69, "lease", leased_s=69)
    late.run(60 + stated_s + 1, SOUTH, session="placer-1/1/1", epoch=1)
    assert judged(made).lost_runs == 5


@pytest.mark.parametrize("trouble", ["back", "cut", "stopped", "refused", "answered", "slow"])
def test_what_excuses_a_run_that_was_not_started_again(made: Made, trouble: str) -> None:
    kill_north_placer(made)
    task = Task(made, "a")
    task.run(51, NORTH, 69, "lease", leased_s=69)
    assert breaches_of(made) == {"lost_runs": 1}
    if trouble == "back":
        restart_north_placer(made, 72)
    elif trouble == "cut":
        made.fault(65, 70, "cut-region", "south", "west")
    elif trouble == "slow":
        made.fault(65, 70, "slow-region", "south", "west")
    elif trouble == "stopped":
        made.event(65, "stopped", who="placer-1")
        made.event(70, "continued", who="placer-1")
    elif trouble == "answered":
        made.record(
            59,
            "owner",
            "answer",
            placer="placer-0",
            job="a",
            uid="u-a",
            answer="failed",
            failed="LeaseLost",
        )
    else:
        made.record(
            75,
            SOUTH,
            "offer",
            placer="placer-1",
            service="s",
            late=False,
            rules="e1",
            pod="x",
            task="a",
            task_class="tracked",
            uid="u-a",
            session="placer-1/1/1",
            epoch=1,
            until_us=85_000_000,
        )
        made.record(75, SOUTH, "answer", pod="x", status=409, reason="OutOfcpu")
    assert not breaches_of(made)


def test_a_run_where_its_spec_forbids_is_found(made: Made) -> None:
    Task(made, "a", "web", federation="homebound").run(51, WEST, 56, session="", leased_s=56)
    assert breaches_of(made) == {"forbidden_regions": 1}


def test_an_answer_of_another_placer_is_found(made: Made) -> None:
    Task(made, "a").run(51, NORTH, 56)
    made.record(
        70, "owner", "answer", placer="placer-1", job="a", uid="u-a", answer="placed", failed=""
    )
    verdict = judged(made)
    assert verdict.broken == ["double_answers"]
    assert verdict.line()["double_answers"] == 1


# -- turns


def add_turn(
    made: Made,
    number: int,
    machine: str,
    asked_s: float,
    out_s: float | None,
    back_s: float | None = None,
    urgency: int = 0,
) -> None:
    """Records a turn as the rig, the placers' histories and the worker do; `back_s` None: it is not over."""
    made.event(
        asked_s,
        "turn-asked",
        machine=machine,
        urgency=urgency,
        number=number,
        told={"askedUs": int(asked_s * S)},
    )
    for at_s, state in ((out_s and out_s - 2, "closing"), (out_s, "out"), (back_s, "back")):
        if at_s is not None:
            made.history(at_s, "placer-1", "turn", number=number, machine=machine, state=state)
    if out_s is not None:
        made.record(out_s + 0.5, machine, "work-begin", turn=number, tasks=0)
        made.record((back_s or 190) - 0.5, machine, "work-end", turn=number, tasks=0)


def test_turns_one_after_the_other_break_nothing(made: Made) -> None:
    for number in range(4):
        add_turn(made, number, f"node-n-{number}", 40, 50 + 10 * number, 58 + 10 * number)
    Task(made, "a").run(62, NORTH, 69, leased_s=72)
    verdict = judged(made)
    assert verdict.clean and verdict.turns == 4, verdict.notes


@pytest.mark.parametrize(("other", "over"), [("node-n-1", 1), ("node-n-2", 1), ("node-s-0", 0)])
def test_more_machines_out_than_a_budget_allows_are_found(
    made: Made, other: str, over: int
) -> None:
    """The budgets allow one machine out in a cell, and a quarter of the four of a zone."""
    add_turn(made, 1, "node-n-0", 40, 50, 70)
    add_turn(made, 2, other, 40, 60, 80)
    assert breaches_of(made).get("turn_overs", 0) == over


def test_a_machine_that_was_lost_for_long_counts_as_out(made: Made) -> None:
    made.record(30, "node-n-1", "die")
    add_turn(made, 1, "node-n-0", 31, 44, 50)
    assert not breaches_of(made), "it has been down for less than the time until a leader knows"
    add_turn(made, 2, "node-n-3", 40, 60, 70)
    assert breaches_of(made) == {"turn_overs": 1}


@pytest.mark.parametrize(("tasks", "starts_s"), [(1, None), (0, 55.0), (0, 49.0)])
def test_work_on_a_machine_with_a_task_is_found(
    made: Made, tasks: int, starts_s: float | None
) -> None:
    add_turn(made, 1, NORTH, 40, 50, 60)
    made.records[0]["tasks"] = tasks
    if starts_s is not None:
        Task(made, "a", at_s=48).run(starts_s, NORTH, 62, leased_s=65)
    assert breaches_of(made) == {"worked_on_busy": 1}


def test_a_turn_that_was_closed_before_a_more_urgent_one_of_its_cell_is_found(made: Made) -> None:
    add_turn(made, 1, "node-n-0", 40, 80, 90, urgency=1)
    add_turn(made, 2, "node-n-1", 41, 100, 110, urgency=5)
    assert breaches_of(made) == {"turn_disorder": 1}
    made.events = [
        each | {"urgency": 0} if each.get("number") == 2 else each for each in made.events
    ]
    assert not breaches_of(made)


def test_waiting_for_ten_minutes_makes_up_for_urgency(made: Made) -> None:
    """The wait counts by the queue's clock, not by the judge's."""
    add_turn(made, 1, "node-n-0", 40, 80, 90, urgency=1)
    add_turn(made, 2, "node-n-1", 41, 100, 110, urgency=2)
    assert breaches_of(made) == {"turn_disorder": 1}
    made.events = [
        each | {"told": {"askedUs": 700 * S}} if each.get("number") == 2 else each
        for each in made.events
    ]
    assert not breaches_of(made)


def test_a_more_urgent_turn_whose_region_was_shaken_may_come_later(made: Made) -> None:
    add_turn(made, 1, "node-n-0", 40, 80, 90, urgency=1)
    add_turn(made, 2, "node-n-1", 41, 100, 110, urgency=5)
    made.fault(60, 70, "cut-region", "north", "south")
    assert not breaches_of(made)
