"""What the page says of the roles of agreement: member, voter, leader, replica holder, a region's link."""

from __future__ import annotations

from benchmarks.capacity.estimate import Key
from benchmarks.capacity.rows import Budget, Input, Mechanism, Missing, Role, Row, State

NOT_TAKEN = "no such measure in the results"
NOT_BUILT = "nothing measures it yet"
CONTROL_BYTES = Budget("control_bytes / 2", "half of all control")
CONTROL_CORE = Budget("control_core * 1000000", "all control")
CONTROL_MEMORY = Budget("control_memory", "all control")
CORE = Budget("1000000", "one core")
ACCEPTED = Key("voter", "placers", "placers whose rule set with three limits is accepted")
ALLOWED = Key("leader", "teams", "teams allowed by the length of a rule set, 170 placers")
IN_FORCE = Budget("force_s")

MEMBER = Role(
    "member",
    "Member",
    "What a placer spends to know the others and to act on agreed rules: what the target calls control.",
    ("member",),
    (
        State("members", "placers", Key("member", "placers", "memory held, membership")),
        State(
            "rules and rights that it holds, with those of three limits, by placers",
            "placers",
            Key("member", "placers", "memory held, agreement"),
        ),
    ),
    (
        Row(Key("member", "placers", "messages sent, membership"), NOT_TAKEN),
        Row(Key("member", "placers", "bytes sent, membership"), NOT_TAKEN, CONTROL_BYTES),
        Row(Key("member", "placers", "bytes received, membership"), NOT_TAKEN, CONTROL_BYTES),
        Row(Key("member", "placers", "processor, membership"), NOT_TAKEN, CONTROL_CORE),
        Row(Key("member", "placers", "memory held, membership"), NOT_TAKEN, CONTROL_MEMORY),
        Row(Key("member", "placers", "time until a death is known, all"), NOT_TAKEN),
        Row(Key("member", "placers", "bytes sent, agreement"), NOT_TAKEN, CONTROL_BYTES),
        Row(Key("member", "placers", "bytes received, agreement"), NOT_TAKEN, CONTROL_BYTES),
        Row(
            Key("member", "placers", "bytes received, agreement, limits short"),
            NOT_TAKEN,
            CONTROL_BYTES,
        ),
        Row(Key("member", "placers", "processor, agreement"), NOT_TAKEN, CONTROL_CORE),
        Row(Key("member", "placers", "memory held, agreement"), NOT_TAKEN, CONTROL_MEMORY),
        Row(Key("member", "placers", "rule set"), NOT_TAKEN, Budget("rules_text")),
        Row(Key("member", "placers", "time until in force, two steps most"), NOT_TAKEN, IN_FORCE),
        Row(
            Key("member", "changes", "time until in force everywhere, 64 placers most"),
            NOT_TAKEN,
            IN_FORCE,
        ),
        Row(Key("member", "changes", "changes refused, 64 placers"), NOT_TAKEN),
        Row(
            Key("member", "changes", "bytes received, agreement, 64 placers"),
            NOT_TAKEN,
            CONTROL_BYTES,
        ),
        Row(
            Key("member", "teams", "bytes received, agreement, 64 placers, bounds lifted"),
            NOT_TAKEN,
            CONTROL_BYTES,
        ),
        Row(Key("member", "teams", "rule set, 64 placers"), NOT_TAKEN, Budget("rules_text")),
    ),
    (
        Mechanism("wingbarrow/decide/membership/swim.py", "SWIM with Lifeguard"),
        Mechanism("wingbarrow/decide/membership/gossip.py", "gossip that rides on other messages"),
        Mechanism(
            "wingbarrow/decide/coordination/lease_client.py",
            "asks for grants, holds what they bring",
        ),
        Mechanism("wingbarrow/decide/quotas/escrow.py", "spends its parts of limits"),
        Mechanism("wingbarrow/peers/outbox.py", "mail: batches, bounds"),
    ),
    (
        Missing("membership by region: more members than a placer keeps", "members_most / placers"),
        Missing(
            "boxes of mail for all, where all are in one membership and mail each other",
            "addresses_most / (placers - 1)",
        ),
        Missing(
            "rules that do not name each placer: with three limits their text passes its bound",
            "accepted / placers",
            (
                Input(
                    "accepted",
                    Key("voter", "placers", "placers whose rule set with three limits is accepted"),
                    alone=True,
                ),
            ),
        ),
        Missing(
            "mail of membership within half of the budget: each exchange of tables names all members",
            key=Key("member", "placers", "bytes received, membership"),
            budget="control_bytes / 2",
        ),
        Missing(
            "mail within half of the budget as teams grow: each grant tells of each right",
            key=Key("member", "teams", "bytes received, agreement, 64 placers, bounds lifted"),
            budget="control_bytes / 2",
        ),
        Missing(
            "processor within the budget, for membership",
            key=Key("member", "placers", "processor, membership"),
            budget="control_core * 1000000",
        ),
        Missing(
            "memory within the budget, for agreement",
            key=Key("member", "placers", "memory held, agreement"),
            budget="control_memory",
        ),
    ),
)

VOTER = Role(
    "voter",
    "Voter",
    "One of those who decide on rules, limits, sessions and turns, in one log.",
    ("voter",),
    (
        State("versions, editions and floors", "1", bound="snapshot_most"),
        State("blocks of limits", "teams * placers", bound="block_bytes"),
        State("sessions", "placers"),
    ),
    (
        Row(Key("voter", "placers", "bytes received, agreement"), NOT_TAKEN),
        Row(Key("voter", "placers", "processor, agreement"), NOT_TAKEN, CORE),
        Row(Key("voter", "placers", "memory held, agreement"), NOT_TAKEN),
        Row(
            Key("voter", "teams", "snapshot, 64 placers, bounds lifted"),
            NOT_TAKEN,
            Budget("mail_most", "one mail"),
        ),
    ),
    (
        Mechanism("wingbarrow/decide/consensus/raft.py", "one order of entries"),
        Mechanism("wingbarrow/decide/rulesets/versions.py", "what the entries come to"),
        Mechanism("wingbarrow/decide/quotas/allocations.py", "blocks of limits"),
        Mechanism("wingbarrow/decide/sessions/session_log.py", "sessions that end"),
        Mechanism("wingbarrow/store/voter_store.py", "term, vote, log and snapshot on disk"),
    ),
    (
        Missing(
            "blocks for all teams and placers: beyond the bound, who is new gets none",
            "(blocks_most / blocks) ** 0.5",
        ),
        Missing(
            "a snapshot in parts: blocks of all teams at all placers do not fit what one mail has room for",
            "(chapters_most / (blocks * block_bytes)) ** 0.5",
        ),
        Missing("voters apart from placers: a voter is a placer that also places", "0"),
    ),
)

LEADER = Role(
    "leader",
    "Leader",
    "The voter that answers asks for grants, and says each change to those who ask.",
    ("leader",),
    (
        State(
            "holders of grants, with the account of three limits",
            "placers",
            Key("leader", "placers", "memory held, agreement"),
        ),
        State("blocks of limits", "teams * placers", bound="block_bytes"),
    ),
    (
        Row(Key("leader", "placers", "messages sent, agreement"), NOT_TAKEN),
        Row(Key("leader", "placers", "bytes sent, agreement"), NOT_TAKEN),
        Row(Key("leader", "placers", "processor, agreement"), NOT_TAKEN, CORE),
        Row(Key("leader", "placers", "processor, agreement, limits short"), NOT_TAKEN, CORE),
        Row(Key("leader", "placers", "memory held, agreement"), NOT_TAKEN),
        Row(
            Key("leader", "placers", "descriptors, agreement"),
            NOT_TAKEN,
            Budget("descriptors_soft", "soft limit"),
        ),
        Row(
            Key("leader", "teams", "processor, agreement, 64 placers, bounds lifted"),
            NOT_TAKEN,
            CORE,
        ),
        Row(Key("leader", "changes", "processor, agreement, 64 placers"), NOT_TAKEN, CORE),
    ),
    (
        Mechanism(
            "wingbarrow/decide/coordination/leader.py",
            "answers asks, one round of the voters for all that wait",
        ),
        Mechanism(
            "wingbarrow/decide/coordination/leases.py", "until when an edition may be acted on"
        ),
        Mechanism("wingbarrow/decide/coordination/coordinator.py", "steps between editions"),
        Mechanism("wingbarrow/decide/quotas/limits.py", "limits of the whole fleet"),
    ),
    (
        Missing(
            "rules apart from who shares a limit: the text names all placers in each limit",
            "(rules_text / (limit_text * teams)) ** 0.5",
        ),
        Missing(
            "limits of all teams in one rule set, with the placers of one region",
            "allowed / teams",
            (
                Input(
                    "allowed",
                    Key(
                        "leader", "teams", "teams allowed by the length of a rule set, 170 placers"
                    ),
                    alone=True,
                ),
            ),
        ),
        Missing("a limit for each team", "limits_most / teams"),
        Missing(
            "an account of limits whose cost does not grow with limits times placers",
            key=Key("leader", "teams", "processor, agreement, 64 placers, bounds lifted"),
            budget="1000000",
        ),
        Missing("blocks for all teams and placers", "(blocks_most / blocks) ** 0.5"),
        Missing(
            "changes one beside the other: steps of a change that contradicts go one after the other",
            "1 / step_busy",
        ),
        Missing(
            "a tree, or gossip, from the voters to the placers: the leader answers each one itself",
            key=Key("leader", "placers", "processor, agreement"),
            budget="1000000",
        ),
    ),
)

REPLICA_HOLDER = Role(
    "replica-holder",
    "Replica holder (keeper of others' records)",
    "A placer of another region that keeps records of leased Jobs. A Job that is not leased has no record elsewhere.",
    ("replica holder",),
    (
        State(
            "records at one keeper, if all tasks were Jobs of one task, leased",
            "tasks_placer * 1",
            bound="record_head",
        ),
        State(
            "the same, were only the machines set aside to keep",
            "running / set_aside",
            bound="record_head",
        ),
    ),
    (Row(Key("replica holder", "tasks", "memory held"), NOT_BUILT),),
    (
        Mechanism(
            "wingbarrow/decide/replication/primary.py",
            "which record must be where before what leaves",
        ),
        Mechanism("wingbarrow/decide/replication/replica.py", "the keeper's side, with its bounds"),
        Mechanism("wingbarrow/decide/sessions/reissue.py", "what becomes of a lost holder's Jobs"),
        Mechanism("wingbarrow/core/failover.py", "takes them over"),
    ),
    (
        Missing("records that survive their keeper's process: they are in memory", "0"),
        Missing("records of all Jobs: only leased ones are kept elsewhere", "0"),
        Missing("a gang in one record", "(record_most - record_head) / record_task / gang"),
        Missing(
            "more records of one holder at one keeper, were all to go to one",
            "keeper_records / tasks_placer",
        ),
    ),
)

REGION_LINK = Role(
    "region-link",
    "A region's link",
    "What crosses between two regions: membership, grants where the leader is elsewhere, records, Jobs handed over.",
    ("region link",),
    (State("placers on each side", "region_placers"),),
    (
        Row(
            Key("region link", "placers", "bytes sent"),
            "not by itself: worked out under a region cut off",
        ),
    ),
    (
        Mechanism("wingbarrow/decide/regions/forwarding.py", "a Job that goes to another region"),
        Mechanism("wingbarrow/decide/regions/reports.py", "how loaded each region is"),
        Mechanism("wingbarrow/decide/sessions/recovery.py", "what is asked after a cut"),
        Mechanism("wingbarrow/lab/fleet/link.py", "the links of the rig, for trials"),
    ),
    (
        Missing("one mail for a region: each placer asks the leader across the link by itself"),
        Missing(
            "a leader near the placers: grants lapse with some 200 ms each way (docs/ROADMAP.md)",
            "0",
        ),
        Missing(
            "machines beyond a region's own: what is lost of a region that is full goes to others only by its spec",
            "0",
        ),
    ),
)

CONTROL: tuple[Role, ...] = (MEMBER, VOTER, LEADER, REPLICA_HOLDER, REGION_LINK)
