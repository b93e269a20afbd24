"""The `agree` node: who decides on rules and who acts on them, grants and leases, regions, limits of the fleet."""

from __future__ import annotations

from wingbarrow.config.settings import Agree
from wingbarrow.config.shapes import Node, Shape, flag, number, read_duration, text
from wingbarrow.decide.quotas.limits import DEFAULT_STRANDED_US, FleetLimit, check_limits

_VOTERS, _GRANTS, _LEASES = (1, 3, 5, 7), (200_000, 4_000_000), (1_000_000, 300_000_000)
GRANTS_A_LEASE = 3  # at least: one that is renewed with each grant outlives two that were missed
_NAMED = Shape((text,), {"region": (text, ""), "machines": (flag, True)}, many=True)
SHAPE = Shape(
    (),
    {"grant": (read_duration, 2_000_000), "lease": (read_duration, 10_000_000)},
    {
        "voter": _NAMED,
        "member": _NAMED,
        "limit": Shape(
            (text,),
            {
                "most": (number(1, 10_000_000, True), None),
                "per": (read_duration, 0),
                "stranded": (read_duration, DEFAULT_STRANDED_US),
            },
            many=True,
        ),
    },
)


def read_agree(top: Node, problems: list[tuple[int, str]]) -> Agree | None:
    """The terms that a whole document says; None where it has no such node. What is wrong goes to `problems`."""
    node, placer = top.one("agree"), top.children["placer"][0]
    if node is None:
        if not placer.props["machines"]:
            problems.append(
                (placer.line, "placer: without machines it can only vote, and there is no `agree`")
            )
        return None
    name = placer.args[0]
    voters = tuple(each.args[0] for each in node.children.get("voter", []))
    at = node.line
    members = tuple(sorted({*voters, *(each.args[0] for each in node.children.get("member", []))}))

    def bad(words: str, line: int = at) -> None:
        problems.append((line, f"agree: {words}"))

    if len(voters) not in _VOTERS or len(set(voters)) != len(voters):
        bad(f"{', '.join(map(str, _VOTERS))} different voters are wanted, not {len(voters)}")
    if name not in members:
        bad(f"{name!r} is neither a voter nor a member")
    if name in voters and "state" not in top.children:
        bad("a voter needs a state folder")
    if name not in voters and not placer.props["machines"]:
        bad(f"{name!r} has no machines and no vote", placer.line)
    grant_us, lease_us = node.props["grant"], node.props["lease"]
    if not _GRANTS[0] <= grant_us <= _GRANTS[1]:
        bad("a grant lasts 200ms to 4s")
    if not _LEASES[0] <= lease_us <= _LEASES[1]:
        bad("a lease lasts 1s to 5m")
    elif lease_us < GRANTS_A_LEASE * grant_us:
        bad(
            f"a lease of {lease_us / 1e6:g} s is shorter than {GRANTS_A_LEASE} grants of {grant_us / 1e6:g} s"
        )
    regions = _regions(node, placer, voters, problems)
    named = [*node.children.get("voter", []), *node.children.get("member", [])]
    bare = tuple(sorted({each.args[0] for each in named if not each.props["machines"]}))
    for each in named:
        if each.args[0] == name and each.props["machines"] != placer.props["machines"]:
            bad(f"{name!r} has machines by one node, and none by the other", each.line)
    sharing = tuple(each for each in members if each not in bare)
    limits = tuple(_limit(each, sharing, top, problems) for each in node.children.get("limit", []))
    problems += [(node.line, words) for words in check_limits(limits)]
    return Agree(voters, members, grant_us, limits, lease_us, regions, bare)


def _regions(
    node: Node, placer: Node, voters: tuple[str, ...], problems: list[tuple[int, str]]
) -> tuple[tuple[str, str], ...]:
    """Each one's region, in the order of the file; () where none is named."""
    regions: dict[str, str] = {}
    lines: dict[str, int] = {}
    for each in (*node.children.get("voter", []), *node.children.get("member", [])):
        who, region = each.args[0], each.props["region"]
        if regions.get(who) and region and regions[who] != region:
            problems.append(
                (
                    each.line,
                    f"agree: {who!r} stands in {regions[who]!r} already, in line {lines[who]}",
                )
            )
        regions[who] = regions.get(who) or region
        lines.setdefault(who, each.line)
    if not any(regions.values()):
        return ()
    for who, region in regions.items():
        if not region:
            problems.append((lines[who], f"agree: {who!r} has no region, others have"))
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
                    f"and the {left} left are no majority: voters stand in three regions, or in two and a "
                    "third place without machines",
                )
            )
    return tuple((who, region) for who, region in regions.items() if region)


def _limit(
    node: Node, members: tuple[str, ...], top: Node, problems: list[tuple[int, str]]
) -> FleetLimit:
    """`limit "namespace/shop" most=100`, `limit "class/web" most=50 per="10s"`, `limit "cold"`: the cold budget."""
    about, _, name = node.args[0].partition("/")
    most, per = node.props["most"], node.props["per"]
    if about == "cold":
        if most is not None or per:
            problems.append((node.line, "limit: that of cold machines is said by `cold`"))
        most, per = (
            int(top.get("cold", "offers", 20)),
            top.get("cold", "window", 2_000_000) * 5 // 4,
        )
    elif most is None:
        problems.append((node.line, f"limit {node.args[0]!r}: most= is wanted"))
    return FleetLimit(
        about, name, "rate" if per else "standing", most or 0, per, node.props["stranded"], members
    )
