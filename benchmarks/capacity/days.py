"""Ordinary and bad days, control as a whole, and the machines set aside: worked out from target, bounds and figures."""

from __future__ import annotations

from benchmarks.capacity.estimate import Key
from benchmarks.capacity.rows import Derived, Input

ENTRY = Input(
    "entry_ms", Key("list client", "machines", "processor for one changed entry"), "third"
)
SEEN = Input(
    "seen_s", Key("placer", "machines", "processor until all machines are seen"), "third", each=True
)
RENEWED = Input(
    "renewed_ms", Key("machine link", "machines", "processor for one watch renewed"), "third"
)
RATE = Input("placed_s", Key("placer", "machines", "placements a second, 32 outstanding"), "third")
LINK = Input("links", Key("placer", "machines", "descriptors"), "third", each=True)
WATCH = Input(
    "watch_bytes",
    Key("placer", "machines", "bytes received idle with bookmarks"),
    "third",
    each=True,
)
STEPS = Input("two_steps_s", Key("member", "placers", "time until in force, two steps most"))


def _control(measure: str, names: tuple[str, str]) -> tuple[Input, ...]:
    kinds = ("membership", "agreement")
    return tuple(
        Input(name, Key("member", "placers", f"{measure}, {kind}"))
        for name, kind in zip(names, kinds, strict=True)
    )


ORDINARY = (
    Derived(
        "agent_links",
        "connections that a machine's agent holds, were all placers of its region idle and linked to it",
        "region_placers * links",
        "descriptors",
        (LINK,),
    ),
    Derived(
        "agent_bytes",
        "what it sends them meanwhile",
        "region_placers * watch_bytes",
        "B/s",
        (WATCH,),
    ),
    Derived(
        "list_changes_s",
        "changes of a region's list a second: each such machine goes and comes",
        "2 * (failed_day + replaced_day) / regions / day_s",
        "changes/s",
    ),
    Derived(
        "failed_tasks_day",
        "tasks that end with a machine that fails, a day",
        "failed_day * tasks_machine",
        "tasks/day",
    ),
    Derived(
        "failed_s",
        "one failure's tasks, in starts at the peak of one region",
        "tasks_machine / (starts_peak / regions)",
        "s",
    ),
    Derived(
        "replaced_tasks_day",
        "tasks that end or move before their machine is worked on, a day",
        "replaced_day * tasks_machine",
        "tasks/day",
    ),
    Derived("replaced_moves_s", "the same a second", "replaced_tasks_day / day_s", "tasks/s"),
    Derived(
        "turn_s",
        "longest that a machine may be worked on to get through a day, by the turns that may be active",
        "turns_active * day_s / replaced_day",
        "s",
    ),
    Derived(
        "cold_machines",
        "machines that are cold at a time",
        "replaced_day * cold_s / day_s",
        "machines",
    ),
    Derived(
        "cold_shares",
        "placers of a region for each offer that a cold machine bears within its window",
        "region_placers / cold_offers",
        "placers",
    ),
)

RACK = (
    Derived("rack_tasks", "tasks of a rack", "rack * tasks_machine", "tasks"),
    Derived(
        "rack_s",
        "the same, in starts at the peak of one region",
        "rack_tasks / (starts_peak / regions)",
        "s",
    ),
    Derived("switch_tasks", "tasks behind a switch", "switch * tasks_machine", "tasks"),
    Derived(
        "switch_s",
        "the same, in starts at the peak of one region",
        "switch_tasks / (starts_peak / regions)",
        "s",
    ),
    Derived(
        "switch_list_ms",
        "processor of each placer of the region for its changes of the list",
        "switch * entry_ms",
        "ms",
        (ENTRY,),
    ),
)

ZONE = (
    Derived(
        "zone_left",
        "machines left in a region that has lost a zone",
        "region_machines - zone",
        "machines",
    ),
    Derived("zone_left_placers", "placers left in it", "region_placers - zone_placers", "placers"),
    Derived(
        "zone_placer_tasks",
        "tasks to start again, for each of them, if none goes to another region",
        "zone_tasks / zone_left_placers",
        "tasks",
    ),
    Derived(
        "zone_s",
        "the same, in starts at the peak of one region",
        "zone_tasks / (starts_peak / regions)",
        "s",
    ),
    Derived(
        "zone_calm_s",
        "until they are started again, at what one placer places a second",
        "zone_placer_tasks / placed_s",
        "s",
        (RATE,),
    ),
    Derived(
        "zone_list_ms",
        "processor of each placer of the region for the zone's changes of the list",
        "zone * entry_ms",
        "ms",
        (ENTRY,),
    ),
    Derived(
        "zone_crowding",
        "tasks on a machine that is left, over tasks before",
        "region_machines / zone_left",
        "times",
    ),
    Derived(
        "zone_room",
        "use of the region up to which nothing need be refused",
        "zone_left / region_machines",
        "of all",
    ),
    Derived(
        "zone_spread",
        "the same, were the zone's tasks spread over all regions",
        "(workers - zone) / workers",
        "of all",
    ),
    Derived(
        "zone_cold_s",
        "starts a second that the returning zone bears while it is cold",
        "zone * cold_offers / cold_window_s",
        "starts/s",
    ),
    Derived(
        "zone_seen_s",
        "processor of each placer of the region to see the returning zone's machines, by the line",
        "zone * seen_s",
        "s",
        (SEEN,),
    ),
)

CUT = (
    Derived(
        "link_membership",
        "membership that a region's placers send to other regions, whose members are probed like their own",
        "region_placers * sent_m * (regions - 1) / regions / 1000",
        "kB/s",
        (Input("sent_m", Key("member", "placers", "bytes sent, membership")),),
    ),
    Derived(
        "link_agreement",
        "asks and grants of a region's placers, where the leader is in another",
        "region_placers * (sent_a + received_a) / 1000",
        "kB/s",
        (
            Input("sent_a", Key("member", "placers", "bytes sent, agreement")),
            Input("received_a", Key("member", "placers", "bytes received, agreement")),
        ),
    ),
    Derived(
        "cut_changes",
        "changes decided while the cut lasts",
        "changes_day * cut_s / day_s",
        "changes",
    ),
    Derived(
        "cut_jobs",
        "Jobs asked for in the region that is cut off",
        "jobs_day * cut_s / day_s / regions",
        "Jobs",
    ),
    Derived(
        "cut_tasks",
        "tasks that run in it, which successors start again where they are leased",
        "running / regions",
        "tasks",
    ),
    Derived(
        "cut_successor",
        "of them for each placer of the regions that are left",
        "cut_tasks / (placers - region_placers)",
        "tasks",
    ),
    Derived(
        "cut_successor_s",
        "until they are started again, at what one placer places a second",
        "cut_successor / placed_s",
        "s",
        (RATE,),
    ),
    Derived(
        "cut_rules_mb",
        "rules that its placers fetch when it heals: one edition, at the longest text",
        "region_placers * rules_text / 1000000",
        "MB",
    ),
    Derived(
        "cut_renewed_s",
        "processor of a placer whose watches all are renewed, were links to machines cut too",
        "region_machines * renewed_ms / 1000",
        "s",
        (RENEWED,),
    ),
)

CONTROL = (
    Derived(
        "member_sent",
        "control bytes that a placer sends",
        "sent_m + sent_a",
        "B/s",
        _control("bytes sent", ("sent_m", "sent_a")),
    ),
    Derived(
        "member_received",
        "and receives",
        "received_m + received_a",
        "B/s",
        _control("bytes received", ("received_m", "received_a")),
    ),
    Derived(
        "member_bytes",
        "share of the budget",
        "(member_sent + member_received) / control_bytes",
        "of it",
    ),
    Derived(
        "member_core",
        "processor, share of the budget",
        "(core_m + core_a) / (control_core * 1000000)",
        "of it",
        _control("processor", ("core_m", "core_a")),
    ),
    Derived(
        "member_memory",
        "memory, share of the budget",
        "(memory_m + memory_a) / control_memory",
        "of it",
        _control("memory held", ("memory_m", "memory_a")),
    ),
)

SEVENTEEN = (
    Derived("voters_left_1", "voters left when one is gone", "voters_most - 1", "voters"),
    Derived("voters_left_2", "when two are gone", "voters_most - 2", "voters"),
    Derived(
        "voters_left_region",
        "when a region of three zones is gone, with one voter in each",
        "voters_most - 3",
        "voters",
    ),
    Derived("voters_majority", "voters that a majority needs", "(voters_most + 1) / 2", "voters"),
    Derived(
        "others", "machines set aside that hold no voter", "set_aside - voters_most", "machines"
    ),
    Derived(
        "zone_set_aside", "machines set aside in a zone, mean", "set_aside / zones", "machines"
    ),
    Derived("asks_s", "asks for grants at the leader", "placers * 3 / grant_s", "asks/s"),
    Derived("asks_short_s", "the same where all are short of some right", "placers * 4", "asks/s"),
    Derived(
        "edition_bytes_s",
        "rules that the leader sends: each change to each placer, at the longest text",
        "rules_text * placers * changes_s / 1000000",
        "MB/s",
    ),
    Derived("edition_placer", "the same received by one placer", "rules_text * changes_s", "B/s"),
    Derived(
        "edition_share",
        "share of its budget for control",
        "edition_placer / control_bytes",
        "of it",
    ),
    Derived(
        "step_s",
        "two steps of a change that contradicts what is in force, by the stated time",
        "2 * stated_s",
        "s",
    ),
    Derived(
        "step_busy",
        "share of the time in which steps are under way, were each change such a one",
        "step_s * changes_s",
        "of all",
    ),
    Derived(
        "step_wait_s",
        "mean wait for those before, were changes to come by chance (M/D/1)",
        "step_s * step_busy / (2 * (1 - step_busy))",
        "s",
    ),
    Derived(
        "force_mean_s", "mean time until such a change is in force", "step_s + step_wait_s", "s"
    ),
    Derived(
        "measured_busy",
        "share of the time in which steps are under way, by the measured time of two steps",
        "two_steps_s * changes_s",
        "of all",
        (STEPS,),
    ),
    Derived(
        "measured_peak",
        "the same at the peak of changes: over 1, a change waits, or is decided in place of one that still waits",
        "measured_busy * changes_peak",
        "of all",
    ),
    Derived("blocks", "blocks: quotas of all teams at all placers", "teams * placers", "blocks"),
)

GROUPS = {
    "ordinary": ORDINARY,
    "zone": (*RACK, *ZONE),
    "cut": CUT,
    "control": CONTROL,
    "seventeen": SEVENTEEN,
}
