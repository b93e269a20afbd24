"""Who told that another is dead, with what cause and in what time; and whether all found together in the end."""

from __future__ import annotations

from collections import defaultdict

from wingbarrow.lab.fleet.judging.run import NEVER, Run, Span
from wingbarrow.lab.fleet.judging.verdict import Verdict

ALIVE = ("joined", "alive", "restarted")


def judge_dead_members(run: Run, out: Verdict) -> None:
    """Burials without cause, and deaths told late."""
    window = run.swim.detection_bound_us(len(run.names))
    out.detect_stated_ms = window // 1000
    told: dict[tuple[str, str], list[int]] = defaultdict(list)
    for teller, each in run.history_entries("member-dead"):
        at, member = each["at_us"], each["member"]
        told[teller, member].append(at)
        out.burials += 1
        if not any(
            trouble.overlaps(at - window, at, teller, member) for trouble in run.disturbances
        ):
            out.breach(
                "unfounded_burials",
                f"{at}: {teller} buried {member}, of neither of which anything was wrong",
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
                or down.end_us - down.begin_us <= window
                or run.end_us - down.begin_us <= window
            ):
                continue
            for teller in run.names:
                if teller != name:
                    since = [at for at in told[teller, name] if at >= down.begin_us]
                    _judge_detection_time(run, out, window, down, teller, since)


def _judge_detection_time(
    run: Run, out: Verdict, window: int, down: Span, teller: str, told: list[int]
) -> None:
    took = min(told) - down.begin_us if told else NEVER
    if took != NEVER and took <= window:
        out.detect_longest_ms = max(out.detect_longest_ms or 0, took // 1000)
    elif not any(
        each.overlaps(down.begin_us, down.begin_us + window)
        for each in run.disturbances
        if each is not down
    ):
        out.breach(
            "late_burials",
            f"{down.begin_us}: {teller} did not tell within the stated time that {down.placer} is dead",
        )


def judge_end(run: Run, out: Verdict) -> None:
    """Whether all that run hold each other for alive, and ended well."""
    out.heal_stated_ms = run.swim.healing_bound_us(len(run.names)) // 1000
    quiet = max((each.end_us for each in run.disturbances if each.end_us != NEVER), default=0)
    for teller in run.running_at_end():
        thought = _member_states(run, teller)
        for member in run.running_at_end():
            standing, since = thought.get(member, ("never heard of", 0))
            if member == teller:
                continue
            if standing not in ALIVE:
                out.breach("not_healed", f"at the end {teller} holds {member} for {standing}")
            elif quiet and since > quiet:
                out.heal_longest_ms = max(out.heal_longest_ms or 0, (since - quiet) // 1000)
    if out.heal_longest_ms is not None and out.heal_longest_ms > out.heal_stated_ms:
        out.breach("not_healed", f"healed only after {out.heal_longest_ms} ms")
    for each in run.events:
        if each["what"] == "ended" and each["status"] != 0:
            out.breach("ended_badly", f"{each['who']} ended with status {each['status']}")
    if not run.end_us:
        out.breach("ended_badly", "the run was not played to its end")


def _member_states(run: Run, teller: str) -> dict[str, tuple[str, int]]:
    """What one thought of all others last, and since when."""
    out: dict[str, tuple[str, int]] = {}
    for each in run.histories[teller]:
        what = each["what"]
        if what == "start":
            out.clear()
        elif what.startswith("member-") and "member" in each and each["at_us"] <= run.end_us:
            out[each["member"]] = what.removeprefix("member-"), each["at_us"]
    return out
