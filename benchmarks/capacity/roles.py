"""What the page says of the roles around a placer's work: placer, list client, machine's agent, operator's client.

Roles of agreement stand in `roles_control`.
"""

from __future__ import annotations

from benchmarks.capacity.estimate import Key
from benchmarks.capacity.roles_control import CONTROL
from benchmarks.capacity.rows import Budget, Mechanism, Missing, Role, Row, State

NO_LISTENER = "no measurement of it was made"

PLACER = Role(
    "placer",
    "Placer",
    "What one placer spends on its own region: the machines that it lists, its links to them, its own tasks and owners.",
    ("placer", "machine link"),
    (
        State(
            "machines that it knows, with their links", "region_machines", Key("placer", "machines", "resident memory")
        ),
        State("tasks that run for it", "tasks_placer", Key("placer", "tasks", "resident memory")),
        State("members that it knows", "placers", Key("placer", "placers", "resident memory")),
    ),
    (
        Row(Key("placer", "machines", "resident memory"), NO_LISTENER),
        Row(
            Key("placer", "machines", "descriptors"),
            NO_LISTENER,
            Budget("descriptors_soft", "usual soft limit of a process"),
        ),
        Row(Key("placer", "machines", "time to place p50"), NO_LISTENER, Budget("urgent_s * 1000", "urgent work")),
        Row(Key("placer", "tasks", "resident memory"), NO_LISTENER),
        Row(Key("placer", "gang", "time to place p50"), NO_LISTENER, Budget("urgent_s * 1000", "urgent work")),
    ),
    (
        Mechanism("wingbarrow/logic_choice.py", "chooses among few machines for each task; the cold share"),
        Mechanism("wingbarrow/logic_machines.py", "what is known of each machine"),
        Mechanism("wingbarrow/core/fleet.py", "the list through its guards to the module and the links"),
        Mechanism("wingbarrow/core/link.py", "connections, offers and news of one machine"),
        Mechanism("wingbarrow/decide/door.py", "turns away what cannot be answered in time"),
    ),
    (
        Missing("a gang starts whole or not at all: tasks of a Job are placed one by one", "0"),
        Missing(
            "urgent work goes first where tasks wait: priority is told to the machine and orders nothing here", "0"
        ),
        Missing(
            "a part of the cold budget for each placer: agreed shares are whole offers, so that the placers beyond its number "
            "start nothing on a machine that is cold",
            "cold_offers / placers",
        ),
        Missing(
            "links to a subset of the region's machines: each placer watches all of them, and a process has so many descriptors",
            key=Key("placer", "machines", "descriptors"),
            budget="descriptors_soft",
        ),
        Missing(
            "time to place at this size within what urgent work is promised",
            key=Key("placer", "machines", "time to place p50"),
            budget="urgent_s * 1000",
        ),
        Missing("more machines listed than by default, were one region to hold them all", "machines_default / workers"),
    ),
)

LIST_CLIENT = Role(
    "list-client",
    "List source's client",
    "What a placer receives from its list source. The source sends each change to all placers of its region.",
    ("list client",),
    (State("machines of the list", "region_machines", Key("list client", "machines", "resident memory")),),
    (
        Row(Key("list client", "machines", "bytes received"), NO_LISTENER),
        Row(Key("list client", "machines", "resident memory"), NO_LISTENER),
        Row(Key("list client", "machines", "processor"), NO_LISTENER),
    ),
    (
        Mechanism("wingbarrow/core/reflector.py", "list and watch, with pages and versions"),
        Mechanism("wingbarrow/decide/listing.py", "keeps older lists out"),
        Mechanism("wingbarrow/http/watching.py", "the client's side of a watch"),
    ),
    (
        Missing(
            "a list of the subset alone: each placer reads every change of its region, also of machines that it sends nothing to"
        ),
        Missing("more machines listed than by default, were one region to hold them all", "machines_default / workers"),
    ),
)

AGENT = Role(
    "agent",
    "Machine's agent",
    "What a machine bears from the placers of its region: one watch from each, and connections for offers, stops and leases.",
    ("agent",),
    (State("placers that watch it", "region_placers", Key("agent", "placers", "resident memory")),),
    (
        Row(
            Key("agent", "placers", "descriptors"),
            "the agents of the measurements are stand-ins in processes of many",
            Budget("descriptors_soft", "usual soft limit of a process"),
        ),
        Row(
            Key("agent", "placers", "messages received"),
            "the agents of the measurements are stand-ins in processes of many",
        ),
        Row(Key("agent", "placers", "processor"), "the agents of the measurements are stand-ins in processes of many"),
    ),
    (
        Mechanism("wingbarrow/core/link.py", "what a placer opens to one machine"),
        Mechanism("wingbarrow/core/stops.py", "stops that are owed, by machine"),
        Mechanism("wingbarrow/core/leases.py", "renewals of what may run"),
        Mechanism("wingbarrow/decide/descriptors.py", "whose descriptor goes, on the platform"),
    ),
    (
        Missing(
            "fewer placers for each machine: were each to open all the connections that it may, an agent's descriptors run out",
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
    (
        Row(Key("operator client", "placers", "time to answer"), NO_LISTENER),
        Row(Key("operator client", "teams", "bytes received"), NO_LISTENER),
        Row(Key("operator client", "changes", "time in force"), NO_LISTENER, Budget("force_s")),
    ),
    (
        Mechanism("wingbarrow/peers/rulesfront.py", "state, proposals, floors, voters"),
        Mechanism("wingbarrow/peers/limitsfront.py", "who holds what of each limit"),
        Mechanism("wingbarrow/cli/rules.py", "the commands"),
    ),
    (
        Missing(
            "a change of one team's quota alone: a proposal is based on the whole rule set, and of two at once one is sent again",
            "1 / changes_open",
        ),
        Missing("the answer of limits in pages, or for one team", "(blocks_most / blocks) ** 0.5"),
        Missing("a summary for the fleet: each placer's metrics and logs are its own", "0"),
    ),
)

ROLES: tuple[Role, ...] = (PLACER, *CONTROL, LIST_CLIENT, AGENT, OPERATOR)
