"""What is played: how many of what, in which regions, under which classes and federation specs.

With regions, placers and machines are dealt out evenly, and voters stand in as many regions as can be; with two, a
third place has a voter without machines. Specs are kept as plain figures, for the judge to read from `fleet.json`.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from wingbarrow.decide.subsets import SubsetRules, Subsets

SECOND = 1_000_000
REGIONS = ("north", "south", "west", "east", "middle", "coast", "hill", "lake")
THIRD, WITNESS = "third", "voter-0"  # the place without machines, and who votes there
FAR_US = 20_000  # each way, between regions


@dataclass(frozen=True, slots=True)
class Size:
    """What is played. Without `leases` regions have no classes or specs of their own, and nothing rests on a lease."""

    placers: int = 5
    machines: int = 10
    seconds: float = 30.0
    seed: int = 1
    rate: float = 8.0  # tasks a second over all owners
    regions: int = 0
    leases: bool = True
    lease_s: float = 10.0
    after_s: float = (
        12.0  # of leased classes' specs; longer by a quarter where nothing may start twice
    )
    subsets: int = 0  # each machine is held by so many placers of its region; 0: by all of them
    other_program: str = ""  # the checkout whose program the first `other_placers` placers run
    other_placers: int = 0

    @property
    def voters(self) -> int:
        """How many decide on rules."""
        if self.regions:
            return 5 if self.placers >= 6 else 3
        return 5 if self.placers >= 7 else 3 if self.placers >= 3 else 1

    def checkout(self, index: int) -> Path | None:
        """The tree of the program that a placer runs; None for this one's."""
        return Path(self.other_program) if index < self.other_placers else None


class Layout:
    """Who and what is where; `regions` are those with machines, {} without any."""

    def __init__(self, size: Size) -> None:
        self.size = size
        self.names = [f"placer-{index}" for index in range(size.placers)]
        self.regions: dict[str, list[str]] = {
            region: self.names[at :: size.regions]
            for at, region in enumerate(REGIONS[: size.regions])
        }
        witness = size.regions == 2
        self.voters = self.names[: size.voters - witness] + [WITNESS] * witness
        self.all = self.names + [WITNESS] * witness
        self.places = {**self.regions, **({THIRD: [WITNESS]} if witness else {})}
        self._region = {name: region for region, names in self.places.items() for name in names}

    def region(self, name: str) -> str:
        """Of a placer; "" without regions."""
        return self._region.get(name, "")

    def mates(self, name: str) -> list[str]:
        """Placers that have the same machines, itself too."""
        return self.regions.get(self.region(name), self.names)

    def machines(self) -> dict[str, int]:
        """How many each region has; by "" without regions."""
        size = self.size
        if not self.regions:
            return {"": size.machines}
        return {
            region: len(range(at, size.machines, size.regions))
            for at, region in enumerate(self.regions)
        }

    def far(self, one: str, other: str) -> bool:
        """Whether a link goes from a region to another."""
        return self.region(one) != self.region(other)

    # -- classes and specs

    def specs(self) -> dict[str, dict[str, Any]]:
        """By name: the regions that it allows, whether its work is leased, and after how long it is issued again."""
        if not self.regions or not self.size.leases:
            return {}
        every, most = list(self.regions), list(self.regions)[:-1]
        after_us = int(self.size.after_s * SECOND)
        return {
            "steady": {"regions": every, "after_us": after_us},
            "parcels": {"regions": every, "after_us": after_us},
            "books": {"regions": every, "after_us": after_us * 5 // 4},
            "homebound": {"regions": most, "after_us": 0},
        }

    def class_specs(self) -> dict[str, str]:
        """The spec that a class goes by."""
        return (
            {"tracked": "steady", "parcel": "parcels", "settlement": "books"}
            if self.specs()
            else {}
        )

    def text(self, name: str, text: str) -> str:
        """Settings of a placer, with its region, and classes and specs of the play."""
        region = self.region(name)
        if not region:
            return text
        first, _, rest = text.partition("\n")
        bare = name == WITNESS
        first = f'placer "{name}" region="{region}"{first[first.index(" index=") :]}{" machines=false" * bare}'
        if bare:
            rest = "\n".join(
                line for line in rest.split("\n") if not line.startswith("list-source")
            )
        if self.specs():
            rest = rest.replace(
                'class "settlement" effect', 'class "settlement" federation="books" effect'
            )
        return f"{first}\n{rest}{self._federation()}"

    def _federation(self) -> str:
        specs = self.specs()
        if not specs:
            return ""

        def quoted(names: list[str]) -> str:
            return " ".join(f'"{each}"' for each in names)

        most = specs["homebound"]["regions"]
        copies = "".join(f'    copy "{region}"\n' for region in most)
        out = (
            f'dataset "ledger" {{\n{copies}    stays {quoted(most)}\n}}\ndataset "catalog" {{\n{copies}}}\n'
            'class "tracked" effect="safe" federation="steady" patience="5s" {\n    spread by="cell" most=3\n}\n'
            'class "parcel" effect="keyed" group="all" window="15s" federation="parcels" patience="5s"\n'
        )
        for name, each in specs.items():
            after = each["after_us"]
            reads = {
                "steady": '    reads "catalog" near="wanted" much="2Gi"\n',
                "homebound": '    reads "ledger" near="required"\n',
            }.get(name, "")
            failover = f'    failover "lost" after="{after // 1000}ms"\n' if after else ""
            out += (
                f'federation "{name}" {{\n    allow {quoted(each["regions"])}\n{reads}{failover}'
                f"    over lower=60 upper=90\n}}\n"
            )
        return out

    def subset(self, name: str) -> str:
        """The node by which a placer holds a subset of its region's machines; "" where it holds all."""
        if not self.size.subsets or name == WITNESS:
            return ""
        roster = " ".join(f'"{each}"' for each in self.mates(name))
        return (
            f'subset replicas={self.size.subsets} {{\n    roster {roster}\n    leave-after "2s"\n'
            '    settle "500ms"\n}\n'
        )

    def held(self, name: str, machines: list[str]) -> int:
        """How many of its region's machines a placer holds while all placers live."""
        mates = frozenset(self.mates(name))
        if not self.size.subsets:
            return len(machines)
        subsets = Subsets(SubsetRules(tuple(mates), self.size.subsets))
        return sum(subsets.holds(name, machine, mates) for machine in machines)

    def agree(self) -> str:
        """The terms of agreement."""
        size = self.size
        leases = bool(self.specs())

        def line(what: str, name: str) -> str:
            where = (
                (f' region="{self.region(name)}"' + " machines=false" * (name == WITNESS))
                if leases
                else ""
            )
            return f'    {what} "{name}"{where}\n'

        most = int(size.rate * (60 if self.regions else 9))
        limits = (
            f'    limit "namespace/default" most={most} stranded="40s"\n'
            f'    limit "class/web" most={int(size.rate * 10)} per="5s"\n    limit "cold"\n'
        )
        return "".join(
            [
                f'agree lease="{int(size.lease_s * 1000)}ms" {{\n' if leases else "agree {\n",
                *[line("voter", name) for name in self.voters],
                *[line("member", name) for name in self.all if name not in self.voters],
                limits,
                "}\n",
            ]
        )
