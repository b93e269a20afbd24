"""Size and layout of a run: counts of placers and machines, regions, task classes and federation specs.

With regions, placers and machines are spread evenly, and voters over as many regions as possible. With two regions, a
third location holds a voter without machines, so that a majority survives the loss of either. Specs are plain numbers
and lists, as the judge reads them from `fleet.json`.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from wingbarrow.decide.subsets import SubsetRules, Subsets

SECOND = 1_000_000
REGIONS = ("north", "south", "west", "east", "middle", "coast", "hill", "lake")
THIRD = "third"  # the location without machines, used with two regions
WITNESS = "voter-0"  # the voter there
REGION_DELAY_US = 20_000  # one way, between regions


@dataclass(frozen=True, slots=True)
class Size:
    """Size of a run. Without `leases`, regions have no classes or federation specs, and no task depends on a lease."""

    placers: int = 5
    machines: int = 10
    seconds: float = 30.0
    seed: int = 1
    rate: float = 8.0  # tasks per second over all owners
    regions: int = 0
    leases: bool = True
    lease_s: float = 10.0
    # Failover delay in the specs of leased classes; a quarter longer for the class whose tasks must not start twice.
    after_s: float = 12.0
    subsets: int = 0  # placers of its region that hold each machine; 0: all of them
    other_program: str = ""  # source tree whose program the first `other_placers` placers run
    other_placers: int = 0

    @property
    def voters(self) -> int:
        """The number of voters, which decide on rules."""
        if self.regions:
            return 5 if self.placers >= 6 else 3
        return 5 if self.placers >= 7 else 3 if self.placers >= 3 else 1

    def checkout(self, index: int) -> Path | None:
        """The source tree whose program a placer runs; None for the tree of this process."""
        return Path(self.other_program) if index < self.other_placers else None


class Layout:
    """Regions of placers and machines, and the settings that follow from them.

    `regions` maps each region with machines to its placers ({} without regions); `locations` also has the witness's.
    """

    def __init__(self, size: Size) -> None:
        self.size = size
        self.names = [f"placer-{index}" for index in range(size.placers)]
        self.regions: dict[str, list[str]] = {
            region: self.names[index :: size.regions]
            for index, region in enumerate(REGIONS[: size.regions])
        }
        witness = size.regions == 2
        self.voters = self.names[: size.voters - witness] + [WITNESS] * witness
        self.all_names = self.names + [WITNESS] * witness
        self.locations = {**self.regions, **({THIRD: [WITNESS]} if witness else {})}
        self._region = {name: region for region, names in self.locations.items() for name in names}

    def region(self, name: str) -> str:
        """The region of a placer; "" without regions."""
        return self._region.get(name, "")

    def region_placers(self, name: str) -> list[str]:
        """The placers of its region, itself included; without regions, all placers."""
        return self.regions.get(self.region(name), self.names)

    def machines(self) -> dict[str, int]:
        """The number of machines of each region; under the key "" without regions."""
        size = self.size
        if not self.regions:
            return {"": size.machines}
        return {
            region: len(range(index, size.machines, size.regions))
            for index, region in enumerate(self.regions)
        }

    def crosses_regions(self, one: str, other: str) -> bool:
        """Whether the link between two placers connects different regions."""
        return self.region(one) != self.region(other)

    # -- classes and specs

    def specs(self) -> dict[str, dict[str, Any]]:
        """Federation specs by name: the allowed regions, and the failover delay in microseconds (0: no failover)."""
        if not self.regions or not self.size.leases:
            return {}
        every, all_but_last = list(self.regions), list(self.regions)[:-1]
        after_us = int(self.size.after_s * SECOND)
        return {
            "steady": {"regions": every, "after_us": after_us},
            "parcels": {"regions": every, "after_us": after_us},
            "books": {"regions": every, "after_us": after_us * 5 // 4},
            "homebound": {"regions": all_but_last, "after_us": 0},
        }

    def class_specs(self) -> dict[str, str]:
        """The federation spec of each task class."""
        return (
            {"tracked": "steady", "parcel": "parcels", "settlement": "books"}
            if self.specs()
            else {}
        )

    def text(self, name: str, text: str) -> str:
        """Complete a placer's settings with its region, and the task classes and specs of the run."""
        region = self.region(name)
        if not region:
            return text
        first, _, rest = text.partition("\n")
        is_witness = name == WITNESS
        first = f'placer "{name}" region="{region}"{first[first.index(" index=") :]}{" machines=false" * is_witness}'
        if is_witness:
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

        regions = specs["homebound"]["regions"]
        copies = "".join(f'    copy "{region}"\n' for region in regions)
        out = (
            f'dataset "ledger" {{\n{copies}    stays {quoted(regions)}\n}}\ndataset "catalog" {{\n{copies}}}\n'
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
        """The settings node that gives a placer a subset of its region's machines; "" if it holds all of them."""
        if not self.size.subsets or name == WITNESS:
            return ""
        roster = " ".join(f'"{each}"' for each in self.region_placers(name))
        return (
            f'subset replicas={self.size.subsets} {{\n    roster {roster}\n    leave-after "2s"\n'
            '    settle "500ms"\n}\n'
        )

    def held_machines(self, name: str, machines: list[str]) -> int:
        """The number of its region's machines that a placer holds while all placers are alive."""
        placers = frozenset(self.region_placers(name))
        if not self.size.subsets:
            return len(machines)
        subsets = Subsets(SubsetRules(tuple(placers), self.size.subsets))
        return sum(subsets.holds(name, machine, placers) for machine in machines)

    def agreement_text(self) -> str:
        """The `agree` node of the settings: voters, members and limits."""
        size = self.size
        leases = bool(self.specs())

        def participant(role: str, name: str) -> str:
            location = (
                (f' region="{self.region(name)}"' + " machines=false" * (name == WITNESS))
                if leases
                else ""
            )
            return f'    {role} "{name}"{location}\n'

        max_tasks = int(size.rate * (60 if self.regions else 9))
        limits = (
            f'    limit "namespace/default" most={max_tasks} stranded="40s"\n'
            f'    limit "class/web" most={int(size.rate * 10)} per="5s"\n    limit "cold"\n'
        )
        return "".join(
            [
                f'agree lease="{int(size.lease_s * 1000)}ms" {{\n' if leases else "agree {\n",
                *[participant("voter", name) for name in self.voters],
                *[
                    participant("member", name)
                    for name in self.all_names
                    if name not in self.voters
                ],
                limits,
                "}\n",
            ]
        )
