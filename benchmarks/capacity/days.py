"""Ordinary and bad days, and the machines set aside, worked out from the target and from the program's bounds."""

from __future__ import annotations

from benchmarks.capacity.rows import Derived

ORDINARY = (
    Derived(
        "list_changes_s",
        "changes of one region's list by failures and replacements, a second: each machine goes and comes",
        "2 * (failed_day + replaced_day) / regions / day_s",
        "changes/s",
    ),
    Derived("list_change_s", "seconds from one such change to the next", "1 / list_changes_s", "s"),
    Derived("failed_tasks_day", "tasks that end with their machine, a day", "failed_day * tasks_machine", "tasks/day"),
    Derived(
        "failed_share_peak",
        "the same as a share of one second's starts at the peak, for each failure",
        "tasks_machine / starts_peak",
        "s",
    ),
    Derived(
        "replaced_tasks_day",
        "tasks that must end or move before their machine is worked on, a day",
        "replaced_day * tasks_machine",
        "tasks/day",
    ),
    Derived("replaced_moves_s", "the same a second, if all move", "replaced_tasks_day / day_s", "tasks/s"),
    Derived(
        "turn_s",
        "longest that a machine may be worked on, with so many turns active at a time, to get through a day",
        "turns_active * day_s / replaced_day",
        "s",
    ),
    Derived("cold_machines", "machines that are cold at a time", "replaced_day * cold_s / day_s", "machines"),
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
        "rack_peak_s",
        "seconds of one region's starts at the peak to start them again",
        "rack_tasks / (starts_peak / regions)",
        "s",
    ),
    Derived("switch_tasks", "tasks behind a switch", "switch * tasks_machine", "tasks"),
    Derived(
        "switch_peak_s",
        "seconds of one region's starts at the peak to start them again",
        "switch_tasks / (starts_peak / regions)",
        "s",
    ),
)

ZONE = (
    Derived("zone_left", "machines left in a region that has lost a zone", "region_machines - zone", "machines"),
    Derived("zone_left_placers", "placers left in it", "region_placers - zone_placers", "placers"),
    Derived(
        "zone_placer_tasks",
        "tasks to start again, for each of them, if none goes to another region",
        "zone_tasks / zone_left_placers",
        "tasks",
    ),
    Derived(
        "zone_peak_s",
        "seconds of one region's starts at the peak to start them again",
        "zone_tasks / (starts_peak / regions)",
        "s",
    ),
    Derived(
        "zone_crowding", "tasks on a machine that is left over tasks before", "region_machines / zone_left", "times"
    ),
    Derived(
        "zone_room",
        "use of the region before the loss up to which nothing need be refused",
        "zone_left / region_machines",
        "of all",
    ),
    Derived(
        "zone_spread", "the same, were the zone's tasks spread over all regions", "(workers - zone) / workers", "of all"
    ),
    Derived(
        "zone_cold_s",
        "starts a second that the zone bears while it is cold after its return",
        "zone * cold_offers / cold_window_s",
        "starts/s",
    ),
    Derived(
        "zone_cold_agreed",
        "of its cold offers that have a holder, where shares are agreed among all placers",
        "cold_offers / placers",
        "offers for each placer",
    ),
    Derived("zone_detect_s", "until a placer's death is known to all others, at most", "detect_s * 1", "s"),
    Derived("zone_turns", "machines of the zone for each turn that can be active", "zone / turns_active", "machines"),
)

CUT = (
    Derived("cut_changes", "changes decided while the cut lasts", "changes_day * cut_s / day_s", "changes"),
    Derived("cut_jobs", "Jobs asked for in the region that is cut off", "jobs_day * cut_s / day_s / regions", "Jobs"),
    Derived("cut_grant_s", "after the cut begins its placers go by their floor at the latest in", "grant_s * 1", "s"),
    Derived(
        "cut_tasks",
        "tasks that run in it, which a successor starts again where they are leased",
        "running / regions",
        "tasks",
    ),
    Derived(
        "cut_successor",
        "of them for each placer of the regions that are left",
        "cut_tasks / (placers - region_placers)",
        "tasks",
    ),
    Derived("cut_ends", "sessions that end, one entry each", "region_placers * 1", "entries"),
    Derived(
        "cut_rules_mb",
        "rules that its placers fetch when the cut heals, at the longest text: one edition, not each change",
        "region_placers * rules_text / 1000000",
        "MB",
    ),
    Derived("cut_heal_s", "until all are alive to all after it, at most", "heal_s * 1", "s"),
)

SEVENTEEN = (
    Derived("voters_left_1", "voters left when one is gone", "voters_most - 1", "voters"),
    Derived("voters_left_2", "when two are gone", "voters_most - 2", "voters"),
    Derived("voters_majority", "voters that a majority needs", "(voters_most + 1) / 2", "voters"),
    Derived(
        "voters_left_region",
        "when a region of three zones is gone, with one voter in each zone",
        "voters_most - 3",
        "voters",
    ),
    Derived("others", "machines set aside that hold no voter", "set_aside - voters_most", "machines"),
    Derived("zone_set_aside", "machines set aside in a zone, mean", "set_aside / zones", "machines"),
    Derived("asks_s", "asks for grants at the leader", "placers * 3 / grant_s", "asks/s"),
    Derived("asks_short_s", "the same where all are short of some right", "placers * 4", "asks/s"),
    Derived(
        "edition_bytes_s",
        "rules that the leader sends, at the longest text, each change to each placer",
        "rules_text * placers * changes_s / 1000000",
        "MB/s",
    ),
    Derived("edition_placer", "the same received by one placer", "rules_text * changes_s", "B/s"),
    Derived("edition_share", "of its budget for control", "edition_placer / control_bytes", "of it"),
    Derived("step_s", "two steps of a change that contradicts what is in force", "2 * stated_s", "s"),
    Derived(
        "step_busy",
        "share of the time in which such steps are under way, if each change is one",
        "step_s * changes_s",
        "of all",
    ),
    Derived(
        "step_wait_s",
        "mean wait for those before it, were changes to come by chance (M/D/1)",
        "step_s * step_busy / (2 * (1 - step_busy))",
        "s",
    ),
    Derived("force_stated_s", "a change is in force, mean", "step_s + step_wait_s", "s"),
    Derived(
        "fanout_letters",
        "letters of the leader a second, were a change said to each placer at once",
        "placers * changes_s",
        "letters/s",
    ),
    Derived("blocks", "blocks: quotas of all teams at all placers", "teams * placers", "blocks"),
)

GROUPS = {"ordinary": ORDINARY, "rack": RACK, "zone": ZONE, "cut": CUT, "seventeen": SEVENTEEN}
