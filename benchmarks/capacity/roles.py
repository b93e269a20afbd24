"""What the page says of the roles around a placer's work: placer, list client, machine's agent, operator's client.

Roles of agreement stand in `roles_control`.
"""

from __future__ import annotations

from benchmarks.capacity.estimate import Key
from benchmarks.capacity.roles_control import CONTROL
from benchmarks.capacity.rows import Budget, Input, Mechanism, Missing, Role, Row, State

NOT_TAKEN = "no such measure in the results"
NOT_BUILT = "nothing measures it yet"
URGENT = Budget("urgent_s * 1000", "urgent work")
SOFT_LIMIT = Budget("descriptors_soft", "soft limit of a process")

PLACER = Role(
    "placer",
    "Placer",
    "What one placer spends on its own region: the machines that it lists, links to them, its own tasks and owners.",
    ("placer", "machine link"),
    (
        State(
            "machines that it lists, with their links",
            "region_machines",
            Key("placer", "machines", "resident memory"),
        ),
        State("tasks that run for it", "tasks_placer", Key("placer", "tasks", "resident memory")),
    ),
    (
        Row(Key("placer", "machines", "resident memory"), NOT_TAKEN),
        Row(Key("placer", "machines", "descriptors"), NOT_TAKEN, SOFT_LIMIT),
        Row(Key("placer", "machines", "time until all machines are seen"), NOT_TAKEN),
        Row(Key("placer", "machines", "processor share idle with bookmarks"), NOT_TAKEN),
        Row(Key("placer", "machines", "bytes received idle with bookmarks"), NOT_TAKEN),
        Row(Key("placer", "machines", "processor for one placement"), NOT_TAKEN),
        Row(
            Key("placer", "machines", "placements a second, 32 outstanding"),
            NOT_TAKEN,
            Budget("starts_placer", "starts at the peak", least=True),
        ),
        Row(Key("placer", "machines", "time to place p50"), NOT_TAKEN, URGENT),
        Row(Key("placer", "machines", "time to place p99"), NOT_TAKEN, URGENT),
        Row(Key("machine link", "machines", "processor for one watch renewed"), NOT_TAKEN),
        Row(Key("placer", "tasks", "resident memory"), NOT_TAKEN),
        Row(Key("placer", "tasks", "processor for one task's end"), NOT_TAKEN),
        Row(Key("placer", "gang", "time until all are placed"), NOT_TAKEN, URGENT),
        Row(Key("placer", "gang", "processor: placer, each task"), NOT_TAKEN),
        Row(Key("placer", "gang", "tasks running, room for one less"), NOT_TAKEN),
    ),
    (
        Mechanism(
            "wingbarrow/placement.py", "chooses among few machines for each task; the cold share"
        ),
        Mechanism("wingbarrow/machine_state.py", "what is known of each machine"),
        Mechanism(
            "wingbarrow/core/fleet.py", "the list through its guards to the module and the links"
        ),
        Mechanism("wingbarrow/core/machine_link.py", "connections, offers and news of one machine"),
        Mechanism(
            "wingbarrow/decide/subsets.py",
            "with subsets: which machines a placer holds, its cold shares",
        ),
        Mechanism("wingbarrow/core/subset.py", "with subsets: takes machines in and lets them go"),
        Mechanism("wingbarrow/decide/overload.py", "turns away what cannot be answered in time"),
    ),
    (
        Missing("gangs that start whole or not at all: tasks of a Job are placed one by one", "0"),
        Missing(
            "urgent work first where tasks wait: priority is told to machines, and orders no queue here",
            "0",
        ),
        Missing(
            "without subsets, a cold share for each placer: agreed shares are whole offers, so that placers beyond "
            "their number start nothing on a cold machine; with subsets the holders of a machine share its offers",
            "cold_offers / placers",
        ),
        Missing(
            "without subsets, descriptors for a link to each machine of the region",
            key=Key("placer", "machines", "descriptors"),
            budget="descriptors_soft",
        ),
        Missing(
            "time to place within urgent work's promise, with one Job outstanding",
            key=Key("placer", "machines", "time to place p99"),
            budget="urgent_s * 1000",
        ),
    ),
)

LIST_CLIENT = Role(
    "list-client",
    "List source's client",
    "What a placer receives from its list source, which sends each change to all placers of its region.",
    ("list client",),
    (
        State(
            "entries of the module",
            "region_machines",
            Key("list client", "machines", "module's memory for the list"),
        ),
    ),
    (
        Row(Key("list client", "machines", "processor for one changed entry"), NOT_TAKEN),
        Row(Key("list client", "machines", "bytes received for one changed entry"), NOT_TAKEN),
        Row(Key("list client", "machines", "module's time for one changed entry"), NOT_TAKEN),
        Row(Key("list client", "machines", "module's memory for the list"), NOT_TAKEN),
        Row(Key("placer", "machines", "processor to take in the list"), NOT_TAKEN),
    ),
    (
        Mechanism("wingbarrow/core/reflector.py", "list and watch, with pages and versions"),
        Mechanism("wingbarrow/decide/list_versions.py", "keeps older lists out"),
        Mechanism("wingbarrow/http/watching.py", "the client's side of a watch"),
    ),
    (
        Missing(
            "without subsets, a list of fewer entries, or told less often: were the room of each machine of the region "
            "told once a second, one core is full, at the cost of an entry in a list of a third of the target",
            "1000 / (region_machines * entry_ms)",
            (
                Input(
                    "entry_ms",
                    Key("list client", "machines", "processor for one changed entry"),
                    "third",
                ),
            ),
        ),
        Missing(
            "a list of fewer bytes, were it a part of control and the room of each machine told once a second",
            "control_bytes / (region_machines * entry_bytes)",
            (
                Input(
                    "entry_bytes",
                    Key("list client", "machines", "bytes received for one changed entry"),
                    "third",
                ),
            ),
        ),
        Missing(
            "more machines listed than by default, were one region to hold them all",
            "machines_default / workers",
        ),
    ),
)

AGENT = Role(
    "agent",
    "Machine's agent",
    "What a machine bears from the placers of its region: a watch from each, connections for offers, stops, leases.",
    ("agent",),
    (State("placers that watch it", "region_placers", Key("agent", "placers", "resident memory")),),
    (
        Row(
            Key("agent", "placers", "descriptors"),
            "not by itself: worked out under ordinary days",
            SOFT_LIMIT,
        ),
    ),
    (
        Mechanism("wingbarrow/core/machine_link.py", "what a placer opens to one machine"),
        Mechanism("wingbarrow/core/stops.py", "stops that are owed, by machine"),
        Mechanism("wingbarrow/core/machine_leases.py", "renewals of what may run"),
        Mechanism(
            "wingbarrow/decide/descriptor_budget.py", "whose descriptor goes, on the platform"
        ),
    ),
    (
        Missing(
            "fewer placers for each machine: were each to open all connections that it may, descriptors run out",
            "descriptors_soft / (region_placers * (machine_connections + stop_connections + 1))",
        ),
        Missing(
            "the same with two connections from each: a watch, and one for offers",
            "descriptors_soft / (region_placers * 2)",
        ),
        Missing("an agent that was measured: the one here is a stand-in of the laboratory", "0"),
    ),
)

OPERATOR = Role(
    "operator",
    "Operator's client",
    "What is answered when an operator asks for members, limits, rules or turns; what it takes to propose a change.",
    ("operator client",),
    (
        State("members in one answer", "placers"),
        State("blocks in one answer of the fleet's limits", "teams * placers", bound="block_bytes"),
    ),
    (Row(Key("operator client", "placers", "time to answer"), NOT_BUILT),),
    (
        Mechanism("wingbarrow/peers/rulesets_api.py", "state, proposals, floors, voters"),
        Mechanism("wingbarrow/peers/limits_api.py", "who holds what of each limit"),
        Mechanism("wingbarrow/cli/rules.py", "the commands"),
    ),
    (
        Missing(
            "a change of one team's quota alone: a proposal is a whole rule set; of two at once one is sent again",
            "1 / changes_open",
        ),
        Missing("the answer of limits in pages, or for one team", "(blocks_most / blocks) ** 0.5"),
        Missing("a summary for the fleet: each placer's metrics and logs are its own", "0"),
    ),
)

ROLES: tuple[Role, ...] = (PLACER, *CONTROL, LIST_CLIENT, AGENT, OPERATOR)
