"""The `agree` node: voters and members of the agreement on rules, grants and leases, regions, fleet-wide limits."""

from __future__ import annotations

from wingbarrow.config.schema import Node, NodeSchema, flag, number, read_duration, text
from wingbarrow.config.settings import AgreementSettings
from wingbarrow.decide.quotas.limits import DEFAULT_STRANDED_US, FleetLimit, check_limits

VOTER_COUNTS = (1, 3, 5, 7)
_GRANT_BOUNDS_US = (200_000, 4_000_000)
_LEASE_BOUNDS_US = (1_000_000, 300_000_000)
MIN_GRANTS_PER_LEASE = 3  # a lease is renewed with each grant, so it outlives two missed grants
_MEMBER_SCHEMA = NodeSchema(
    (text,), {"region": (text, ""), "machines": (flag, True)}, is_repeatable=True
)
SCHEMA = NodeSchema(
    (),
    {"grant": (read_duration, 2_000_000), "lease": (read_duration, 10_000_000)},
    {
        "voter": _MEMBER_SCHEMA,
        "member": _MEMBER_SCHEMA,
        "limit": NodeSchema(
            (text,),
            {
                "most": (number(1, 10_000_000, True), None),
                "per": (read_duration, 0),
                "stranded": (read_duration, DEFAULT_STRANDED_US),
            },
            is_repeatable=True,
        ),
    },
)


def read_agree(top: Node, problems: list[tuple[int, str]]) -> AgreementSettings | None:
    """The settings of the `agree` node of a document; None without that node. Appends errors to `problems`."""
    node, placer = top.first("agree"), top.children["placer"][0]
    if node is None:
        if not placer.props["machines"]:
            problems.append(
                (
                    placer.line,
                    "placer: a placer without machines can only vote, but there is no `agree` node",
                )
            )
        return None
    name = placer.args[0]
    voters = tuple(each.args[0] for each in node.children.get("voter", []))
    at = node.line
    members = tuple(sorted({*voters, *(each.args[0] for each in node.children.get("member", []))}))

    def report_problem(words: str, line: int = at) -> None:
        problems.append((line, f"agree: {words}"))

    if len(voters) not in VOTER_COUNTS or len(set(voters)) != len(voters):
        report_problem(
            f"{', '.join(map(str, VOTER_COUNTS))} different voters are wanted, not {len(voters)}"
        )
    if name not in members:
        report_problem(f"{name!r} is neither a voter nor a member")
    if name in voters and "state" not in top.children:
        report_problem("a voter needs a state folder")
    if name not in voters and not placer.props["machines"]:
        report_problem(f"{name!r} has no machines and no vote", placer.line)
    grant_us, lease_us = node.props["grant"], node.props["lease"]
    if not _GRANT_BOUNDS_US[0] <= grant_us <= _GRANT_BOUNDS_US[1]:
        report_problem("a grant lasts 200ms to 4s")
    if not _LEASE_BOUNDS_US[0] <= lease_us <= _LEASE_BOUNDS_US[1]:
        report_problem("a lease lasts 1s to 5m")
    elif lease_us < MIN_GRANTS_PER_LEASE * grant_us:
        report_problem(
            f"a lease of {lease_us / 1e6:g} s is shorter than {MIN_GRANTS_PER_LEASE} grants of {grant_us / 1e6:g} s"
        )
    regions = _regions(node, placer, voters, problems)
    named = [*node.children.get("voter", []), *node.children.get("member", [])]
    members_without_machines = tuple(
        sorted({each.args[0] for each in named if not each.props["machines"]})
    )
    for each in named:
        if each.args[0] == name and each.props["machines"] != placer.props["machines"]:
            report_problem(f"{name!r} has machines by one node, and none by the other", each.line)
    sharing = tuple(each for each in members if each not in members_without_machines)
    limits = tuple(_limit(each, sharing, top, problems) for each in node.children.get("limit", []))
    problems += [(node.line, words) for words in check_limits(limits)]
    return AgreementSettings(
        voters, members, grant_us, limits, lease_us, regions, members_without_machines
    )


def _regions(
    node: Node, placer: Node, voters: tuple[str, ...], problems: list[tuple[int, str]]
) -> tuple[tuple[str, str], ...]:
    """(placer, region) of each voter and member, in the order of the file; () if no region is set.

    Reports contradicting or missing regions, and a region whose loss would leave no majority of voters.
    """
    regions: dict[str, str] = {}
    lines: dict[str, int] = {}
    for each in (*node.children.get("voter", []), *node.children.get("member", [])):
        member, region = each.args[0], each.props["region"]
        if regions.get(member) and region and regions[member] != region:
            problems.append(
                (
                    each.line,
                    f"agree: {member!r} already has region {regions[member]!r}, set in line {lines[member]}",
                )
            )
        regions[member] = regions.get(member) or region
        lines.setdefault(member, each.line)
    if not any(regions.values()):
        return ()
    for member, region in regions.items():
        if not region:
            problems.append((lines[member], f"agree: {member!r} has no region, others have"))
    name, mine = placer.args[0], placer.props["region"]
    if regions.get(name) and mine != regions[name]:
        problems.append(
            (placer.line, f"placer: region {mine!r}, but `agree` says {regions[name]!r}")
        )
    for region in dict.fromkeys(regions[voter] for voter in voters if regions.get(voter)):
        inside = sum(regions.get(voter) == region for voter in voters)
        left = len(voters) - inside
        if len(set(regions.values())) > 1 and left <= len(voters) // 2:
            problems.append(
                (
                    node.line,
                    f"agree: the loss of region {region!r} takes {inside} of {len(voters)} voters, "
                    f"and the {left} left are no majority: place voters in three regions, or in two and a "
                    "third region without machines",
                )
            )
    return tuple((member, region) for member, region in regions.items() if region)


def _limit(
    node: Node, members: tuple[str, ...], top: Node, problems: list[tuple[int, str]]
) -> FleetLimit:
    """One fleet limit: `limit "namespace/shop" most=100`, `limit "class/web" most=50 per="10s"`, `limit "cold"`.

    The last one takes the cold budget from the `cold` node.
    """
    about, _, name = node.args[0].partition("/")
    most, per = node.props["most"], node.props["per"]
    if about == "cold":
        if most is not None or per:
            problems.append(
                (
                    node.line,
                    "limit: the limit of cold machines is said by `cold`; most= and per= are not allowed",
                )
            )
        most = int(top.get("cold", "offers", 20))
        per = top.get("cold", "window", 2_000_000) * 5 // 4
    elif most is None:
        problems.append((node.line, f"limit {node.args[0]!r}: most= is wanted"))
    return FleetLimit(
        about, name, "rate" if per else "standing", most or 0, per, node.props["stranded"], members
    )
