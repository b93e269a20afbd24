"""Judges death reports of members: their cause and delay, and whether members agree after the last fault."""

from __future__ import annotations

from collections import defaultdict

from wingbarrow.lab.fleet.judging.run import NEVER, Run, Span
from wingbarrow.lab.fleet.judging.verdict import Verdict

ALIVE = ("joined", "alive", "restarted")


def judge_dead_members(run: Run, out: Verdict) -> None:
    """Judge death reports without cause, and deaths that were reported late."""
    bound_us = run.swim.detection_bound_us(len(run.names))
    out.detect_stated_ms = bound_us // 1000
    reports: dict[tuple[str, str], list[int]] = defaultdict(list)
    for observer, each in run.history_entries("member-dead"):
        at, member = each["at_us"], each["member"]
        reports[observer, member].append(at)
        out.burials += 1
        if not any(
            disturbance.overlaps(at - bound_us, at, observer, member)
            for disturbance in run.disturbances
        ):
            out.breach(
                "unfounded_burials",
                f"{at}: {observer} declared {member} dead, though neither had a fault",
            )
    for name in run.names:
        for lifetime in run.lifetimes[name]:
            down = next(
                (
                    each
                    for each in run.disturbances
                    if each.placer == name
                    and not each.other_placer
                    and each.begin_us == lifetime.end_us
                ),
                None,
            )
            if (
                down is None
                or down.end_us - down.begin_us <= bound_us
                or run.end_us - down.begin_us <= bound_us
            ):
                continue
            for observer in run.names:
                if observer != name:
                    since = [at for at in reports[observer, name] if at >= down.begin_us]
                    _judge_detection_time(run, out, bound_us, down, observer, since)


def _judge_detection_time(
    run: Run, out: Verdict, bound_us: int, down: Span, observer: str, reports: list[int]
) -> None:
    delay_us = min(reports) - down.begin_us if reports else NEVER
    if delay_us != NEVER and delay_us <= bound_us:
        out.detect_longest_ms = max(out.detect_longest_ms or 0, delay_us // 1000)
    elif not any(
        each.overlaps(down.begin_us, down.begin_us + bound_us)
        for each in run.disturbances
        if each is not down
    ):
        out.breach(
            "late_burials",
            f"{down.begin_us}: {observer} did not declare {down.placer} dead within the stated time",
        )


def judge_end(run: Run, out: Verdict) -> None:
    """Judge whether all running placers consider each other alive at the end, and how processes ended."""
    out.heal_stated_ms = run.swim.healing_bound_us(len(run.names)) // 1000
    last_fault_end_us = max(
        (each.end_us for each in run.disturbances if each.end_us != NEVER), default=0
    )
    for observer in run.running_at_end():
        states = _member_states(run, observer)
        for member in run.running_at_end():
            state, since = states.get(member, ("unknown", 0))
            if member == observer:
                continue
            if state not in ALIVE:
                out.breach("not_healed", f"at the end {observer} considers {member} {state}")
            elif last_fault_end_us and since > last_fault_end_us:
                out.heal_longest_ms = max(
                    out.heal_longest_ms or 0, (since - last_fault_end_us) // 1000
                )
    if out.heal_longest_ms is not None and out.heal_longest_ms > out.heal_stated_ms:
        out.breach("not_healed", f"healed only after {out.heal_longest_ms} ms")
    for each in run.events:
        if each["what"] == "ended" and each["status"] != 0:
            out.breach("ended_badly", f"{each['who']} ended with status {each['status']}")
    if not run.end_us:
        out.breach("ended_badly", "the run was not completed")


def _member_states(run: Run, observer: str) -> dict[str, tuple[str, int]]:
    """The last state of each other member in an observer's history, and the time of its last entry."""
    out: dict[str, tuple[str, int]] = {}
    for each in run.histories[observer]:
        what = each["what"]
        if what == "start":
            out.clear()
        elif what.startswith("member-") and "member" in each and each["at_us"] <= run.end_us:
            out[each["member"]] = what.removeprefix("member-"), each["at_us"]
    return out
