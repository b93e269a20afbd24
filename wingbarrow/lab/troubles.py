"""Generated days: the kinds of troubles, their times, durations and targets, all drawn from a seed.

Scripted days cover the combinations that were thought of; generated ones cover others. A day is a list of `Trouble`s;
any part of the list is a valid day, so that a breach can be reduced to the troubles that it needs.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from wingbarrow.lab.cluster import SECOND, Cluster
from wingbarrow.lab.faults import Fault, FaultRule
from wingbarrow.lab.load import Owners
from wingbarrow.lab.machine import Machine


@dataclass(frozen=True, slots=True)
class Trouble:
    """A disturbance: `part` is the share of machines affected, `size` its strength (0 to 1); `seed` picks targets."""

    kind: str
    at_s: float
    for_s: float
    part: float
    size: float
    seed: int

    def __str__(self) -> str:
        return f"{self.kind} at {self.at_s:.1f}s for {self.for_s:.1f}s, part {self.part:.2f}, size {self.size:.2f}"


def generate(seed: int, seconds: float) -> list[Trouble]:
    """Two to nine troubles, sorted by time, over a day of `seconds`."""
    rng = random.Random(f"troubles/{seed}")
    out = [
        Trouble(
            rng.choice(sorted(KINDS)),
            round(rng.uniform(2, seconds * 0.8), 2),
            round(rng.uniform(0.2, 12), 2),
            round(rng.uniform(0.05, 0.5), 3),
            round(rng.random(), 3),
            rng.randrange(1 << 30),
        )
        for _ in range(rng.randint(2, 9))
    ]
    if rng.random() < 0.4:
        # Lets the troubles of some days begin together, so that they overlap.
        at = out[0].at_s
        out = [
            out[0],
            *(
                Trouble(t.kind, round(at + rng.uniform(0, 1.5), 2), t.for_s, t.part, t.size, t.seed)
                for t in out[1:]
            ),
        ]
    return sorted(out, key=lambda trouble: trouble.at_s)


def arrange(troubles: list[Trouble], cluster: Cluster, owners: Owners) -> None:
    """Schedule every trouble, at its time counted from now."""
    for trouble in troubles:
        cluster.at(trouble.at_s, lambda t=trouble: KINDS[t.kind](t, cluster, owners))  # type: ignore[misc]


def _pick_machines(trouble: Trouble, cluster: Cluster) -> list[Machine]:
    live = cluster.live()
    count = min(len(live) - 1, max(1, round(trouble.part * len(cluster.machines))))
    return random.Random(trouble.seed).sample(live, count) if count > 0 else []


def _run_staggered(
    machines: list[Machine],
    cluster: Cluster,
    action: Callable[[Machine], None],
    over_s: float = 0.0,
) -> None:
    for turn, machine in enumerate(machines):
        cluster.at(over_s * turn / len(machines), lambda m=machine: action(m))  # type: ignore[misc]


def _crash(trouble: Trouble, cluster: Cluster, owners: Owners) -> None:
    _run_staggered(
        _pick_machines(trouble, cluster), cluster, lambda m: cluster.crash(m, 1 + trouble.for_s)
    )


def _crash_again(trouble: Trouble, cluster: Cluster, owners: Owners) -> None:
    """Machines that came back cold die again while they warm up."""

    def twice(machine: Machine) -> None:
        cluster.crash(machine, 0.5 + trouble.for_s / 4)
        cluster.hub.sleep(int(2 * SECOND * (1 + trouble.size)))
        cluster.crash(machine, 1.0)

    _run_staggered(_pick_machines(trouble, cluster), cluster, twice)


def _gone(trouble: Trouble, cluster: Cluster, owners: Owners) -> None:
    _run_staggered(
        _pick_machines(trouble, cluster)[: max(1, len(cluster.machines) // 4)],
        cluster,
        lambda m: cluster.crash(m, None),
    )


def _hall(trouble: Trouble, cluster: Cluster, owners: Owners) -> None:
    """Half the machines of one zone crash at once."""
    zone = "hall-a" if trouble.size < 0.5 else "hall-b"
    members = [machine for machine in cluster.live() if machine.build.zone == zone]
    _run_staggered(members[::2], cluster, lambda m: cluster.crash(m, 1 + trouble.for_s))


def _drain(trouble: Trouble, cluster: Cluster, owners: Owners) -> None:
    _run_staggered(
        _pick_machines(trouble, cluster)[: max(1, len(cluster.machines) // 4)],
        cluster,
        lambda m: cluster.drain(m, 2 + trouble.for_s),
        trouble.for_s,
    )


def _undrain(trouble: Trouble, cluster: Cluster, owners: Owners) -> None:
    """Machines start and cancel a drain repeatedly."""

    def flap(machine: Machine) -> None:
        for _ in range(1 + int(trouble.size * 5)):
            cluster.set_drain(machine, True)
            cluster.hub.sleep(int(trouble.for_s * SECOND / 6))
            cluster.set_drain(machine, False)
            cluster.hub.sleep(int(trouble.for_s * SECOND / 6))

    _run_staggered(_pick_machines(trouble, cluster), cluster, flap)


def _replace(trouble: Trouble, cluster: Cluster, owners: Owners) -> None:
    _run_staggered(_pick_machines(trouble, cluster), cluster, cluster.replace, trouble.for_s)


def _hold_machines(trouble: Trouble, cluster: Cluster, owners: Owners) -> None:
    _run_staggered(
        _pick_machines(trouble, cluster),
        cluster,
        lambda m: cluster.hold_machine(m, min(6.0, trouble.for_s)),
    )


def _hold_placer(trouble: Trouble, cluster: Cluster, owners: Owners) -> None:
    slot = cluster.placers[trouble.seed % len(cluster.placers)]
    slot.hold(int((0.2 + 3.8 * trouble.size) * SECOND))


def _hold_placers(trouble: Trouble, cluster: Cluster, owners: Owners) -> None:
    """The placers are held one after another."""
    for turn, slot in enumerate(cluster.placers):
        cluster.at(turn * (0.5 + trouble.size), lambda s=slot: s.hold(SECOND))  # type: ignore[misc]


def _hold_all(trouble: Trouble, cluster: Cluster, owners: Owners) -> None:
    """The list source and all placers are held at the same time."""
    for_us = int((0.3 + 2 * trouble.size) * SECOND)
    cluster.hold_source(for_us)
    for slot in cluster.placers:
        slot.hold(for_us)


def _restart_placer(trouble: Trouble, cluster: Cluster, owners: Owners) -> None:
    slot = cluster.placers[trouble.seed % len(cluster.placers)]
    if slot.service is not None:
        cluster.restart_placer(slot, 0.1 + 4 * trouble.size)


def _list_down(trouble: Trouble, cluster: Cluster, owners: Owners) -> None:
    cluster.source.set_down(True)
    cluster.hub.sleep(int(trouble.for_s * SECOND))
    cluster.source.set_down(False)


def _list_late(trouble: Trouble, cluster: Cluster, owners: Owners) -> None:
    cluster.source.lag_us = int((1 + 8 * trouble.size) * SECOND)
    cluster.hub.sleep(int(trouble.for_s * SECOND))
    cluster.source.lag_us = SECOND // 2


def _list_back(trouble: Trouble, cluster: Cluster, owners: Owners) -> None:
    serve_snapshot = cluster.source.take_snapshot()
    cluster.hub.sleep(int(trouble.for_s * SECOND / 2))
    if cluster.source.down:
        return
    serve_snapshot(True)
    cluster.hub.sleep(int(trouble.for_s * SECOND / 2))
    serve_snapshot(False)


def _slow(trouble: Trouble, cluster: Cluster, owners: Owners) -> None:
    machines = _pick_machines(trouble, cluster)
    for machine in machines:
        machine.slowness = 2 + 8 * trouble.size
    cluster.hub.sleep(int(trouble.for_s * SECOND))
    for machine in machines:
        machine.slowness = 1.0


def _faults(trouble: Trouble, cluster: Cluster, owners: Owners) -> None:
    """Answers are lost, truncated, garbled or late, before or after the effect; for one class or for all."""
    rng, now = random.Random(trouble.seed), cluster.hub.now_us()
    until = now + int(trouble.for_s * SECOND)
    for machine in _pick_machines(trouble, cluster):
        for _ in range(2):
            classes = rng.choice(((), ("web",), ("settlement",)))
            machine.faults.rules.append(
                FaultRule(
                    rng.choice(list(Fault)),
                    0.05 + 0.6 * trouble.size,
                    now,
                    until,
                    classes,
                    int(rng.uniform(0.1, 6) * SECOND),
                )
            )


def _cut_watches(trouble: Trouble, cluster: Cluster, owners: Owners) -> None:
    cluster.source.cut_share = 0.3 * trouble.size
    now = cluster.hub.now_us()
    owners.cut_watch_at_us += [now + int(i * trouble.for_s / 5 * SECOND) for i in range(5)]
    cluster.hub.sleep(int(trouble.for_s * SECOND))
    cluster.source.cut_share = 0.0


def _hungry(trouble: Trouble, cluster: Cluster, owners: Owners) -> None:
    factors = {f"web-{i}": 1.5 + 2 * trouble.size for i in range(0, 40, 1 + trouble.seed % 6)}
    for machine in cluster.machines:
        machine.use_factor = factors
    cluster.hub.sleep(int(trouble.for_s * SECOND))
    for machine in cluster.machines:
        machine.use_factor = {}


def _owners_delete(trouble: Trouble, cluster: Cluster, owners: Owners) -> None:
    """Owners delete a share of their Jobs, some at once, some while they run."""
    owners.delete_share = 0.1 + 0.6 * trouble.size
    cluster.hub.sleep(int(trouble.for_s * SECOND))
    owners.delete_share = 0.0


def _surge(trouble: Trouble, cluster: Cluster, owners: Owners) -> None:
    """Demand rises far above the usual; for a few services, above what their spread limit admits."""
    owners.surge(
        int(len(cluster.machines) * (2 + 10 * trouble.size)), trouble.for_s / 3, trouble.seed
    )


KINDS: dict[str, Callable[[Trouble, Cluster, Owners], None]] = {
    "crash": _crash,
    "crash-again": _crash_again,
    "gone": _gone,
    "hall": _hall,
    "drain": _drain,
    "undrain": _undrain,
    "replace": _replace,
    "hold-machines": _hold_machines,
    "hold-placer": _hold_placer,
    "hold-placers": _hold_placers,
    "hold-all": _hold_all,
    "restart-placer": _restart_placer,
    "list-down": _list_down,
    "list-late": _list_late,
    "list-back": _list_back,
    "slow": _slow,
    "faults": _faults,
    "cut-watches": _cut_watches,
    "hungry": _hungry,
    "owners-delete": _owners_delete,
    "surge": _surge,
}
