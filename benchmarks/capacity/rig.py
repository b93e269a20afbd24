"""One placer under test among hollow machines: list source, machines and placer, each in processes of its own."""

from __future__ import annotations

import dataclasses
import time
from collections.abc import Callable, Iterator, Mapping
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass

import msgspec

from benchmarks.capacity.module_cost import ModuleCost
from benchmarks.capacity.placer import Begun, Figures
from benchmarks.capacity.processes import (
    Child,
    MeasureFailed,
    descriptors,
    raise_descriptor_limit,
    resident_mb,
)
from benchmarks.capacity.source import Ports
from wingbarrow.config import load_text
from wingbarrow.lab.cluster import settings_text

MACHINES_PER_PROCESS = (
    3_250  # each takes three descriptors: its listener, its watch and a connection for offers
)
SPARE_DESCRIPTORS = 500
START_S = 240.0  # until the machines are up, and again until the placer sees them
CHANGE_S = 60.0
LOOK_S = 0.1
MS_PER_S = 1_000
MODULE_COST_S = 120.0
NO_SPREAD = {
    '    spread by="cell" most=3\n': ""
}  # for `replace`: tasks of a service may fill a rack
_PACKAGE = "benchmarks.capacity"


@dataclass(frozen=True)
class Rig:
    """The processes of one measurement."""

    machines: int
    source: Child
    hollow: list[Child]
    placer: Child
    owners: Child
    begun: Begun
    ready_s: float  # from the placer's start until it saw all machines

    def figures(self) -> Figures:
        """Where the placer stands."""
        return self.placer.ask(str(self.machines), Figures, 60.0)

    def memory_mb(self) -> float:
        """The placer's resident memory."""
        return resident_mb(self.placer.pid)

    def descriptors(self) -> int:
        """The placer's open descriptors."""
        return descriptors(self.placer.pid)

    def machines_do(self, command: str, most: int) -> int:
        """Have the machines end pods or close watches, `most` in all; how many that was."""
        done = 0
        for child in self.hollow:
            if done < most:
                done += child.ask(f"{command} {most - done}", int)
        return done

    def set_bookmarks(self, on: bool) -> None:
        """Whether machines send bookmarks."""
        for child in self.hollow:
            child.ask(f"marks {int(on)}", int)

    def change_entries(self, count: int, every_ms: int) -> Figures:
        """Change entries of the list, one at a time; the placer's figures once it has them all."""
        version = self.source.ask(
            f"change {count} {every_ms}", int, CHANGE_S + count * every_ms / MS_PER_S
        )
        return self.wait(
            lambda figures: figures.list_version >= version,
            CHANGE_S,
            "has the list's latest version",
        )

    def wait_seen(self) -> Figures:
        """Wait until the placer has its list and every machine has told what it runs; its figures then."""
        return self.wait(
            lambda figures: figures.sees, START_S, f"sees its {self.machines} machines"
        )

    def wait(self, done: Callable[[Figures], bool], within_s: float, what: str) -> Figures:
        """Wait for what shows in the placer's figures, and give them; MeasureFailed where it takes too long."""
        until = time.monotonic() + within_s
        while not done(figures := self.figures()):
            if time.monotonic() >= until:
                raise MeasureFailed(f"not within {within_s:g} s: the placer {what}; {figures}")
            time.sleep(LOOK_S)
        return figures


def placer_settings(
    source_port: int, machines: int, limits: Mapping[str, int] | None = None, extra: str = ""
) -> str:
    """The laboratory's settings, with limits by their names in KDL, and more KDL text."""
    wanted = {"machines": machines + 100, **(limits or {})}
    lines = "; ".join(f"{name} {value}" for name, value in wanted.items())
    return f'{settings_text(0, 1, 1, source_port)}limits {{ {lines}; }}\nallow-peer "127.0.0.0/8"\n{extra}\n'


def module_cost(machines: int, tasks: int) -> ModuleCost:
    """What the decision module alone pays for so many machines and running tasks."""
    text = settings_text(0, 1, 1, 1)
    for old, new in NO_SPREAD.items():
        text = text.replace(old, new)
    with Child(f"{_PACKAGE}.module_cost", str(machines), str(tasks)) as child:
        return child.ask(msgspec.json.encode(text).decode(), ModuleCost, MODULE_COST_S)


def check_sizes(sizes: tuple[int, ...]) -> None:
    """Refuse sizes that cannot be measured: ValueError."""
    if not sizes or min(sizes) < 1:
        raise ValueError(f"sizes of at least 1 are wanted, not {sizes}")


def _check_descriptors(machines: int) -> None:
    limit, needed = raise_descriptor_limit(), machines + machines // 10 + SPARE_DESCRIPTORS
    if needed > limit:
        raise MeasureFailed(
            f"{machines} machines need about {needed} descriptors in the placer; the limit is {limit}"
        )


@contextmanager
def running(
    machines: int,
    owners: str,
    limits: Mapping[str, int] | None = None,
    extra: str = "",
    replace: Mapping[str, str] | None = None,
    traced: bool = False,
) -> Iterator[Rig]:
    """All processes, the placer with its list and links; they end with the block, whatever happens.

    `owners`: the module of this package that submits Jobs; `replace`: parts of the settings' text to be replaced;
    `traced`: the placer traces its allocations, and is slow.
    """
    _check_descriptors(machines)

    def text(source_port: int) -> str:
        settings = placer_settings(source_port, machines, limits, extra)
        for old, new in (replace or {}).items():
            settings = settings.replace(old, new)
        return settings

    load_text(text(1))  # SettingsError before anything is started
    with ExitStack() as stack:
        source = stack.enter_context(Child(f"{_PACKAGE}.source"))
        hollow = [
            stack.enter_context(
                Child(
                    f"{_PACKAGE}.hollow",
                    str(first),
                    str(min(MACHINES_PER_PROCESS, machines - first)),
                )
            )
            for first in range(0, machines, MACHINES_PER_PROCESS)
        ]
        placer = stack.enter_context(Child(f"{_PACKAGE}.placer", *(["traced"] if traced else [])))
        asking = stack.enter_context(Child(f"{_PACKAGE}.{owners}"))
        ports = source.read(Ports, START_S)
        for child in hollow:
            child.ask(str(ports.news), int, START_S)
        _wait_listed(source, machines)
        begun = placer.ask(msgspec.json.encode(text(ports.source)).decode(), Begun, START_S)
        begun_at_s = time.monotonic()
        rig = Rig(machines, source, hollow, placer, asking, begun, 0.0)
        rig.wait_seen()
        yield dataclasses.replace(rig, ready_s=time.monotonic() - begun_at_s)


def _wait_listed(source: Child, machines: int) -> None:
    until = time.monotonic() + START_S
    while (known := source.ask("count", int)) < machines:
        if time.monotonic() >= until:
            raise MeasureFailed(
                f"the list source knows {known} of {machines} machines after {START_S:g} s"
            )
        time.sleep(LOOK_S)
