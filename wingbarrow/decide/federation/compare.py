"""Comparison of two federations: whether one allows all that the other allows, their intersection, their differences.

Compared is what may *run* or *move*: regions, required data, residency, failovers, returns, the action on a network
partition. The order of regions, the thresholds and the capacity to reserve are preferences and restrict nothing, so any
two of them are compatible. No I/O.
"""

from __future__ import annotations

from dataclasses import fields, replace

from wingbarrow.decide.federation.encoding import normalized
from wingbarrow.decide.federation.spec import (
    FAILOVER_CAUSES,
    INTERSECTION_PREFIX,
    PARTITION_ACTIONS,
    RETURN_MODES,
    Back,
    DataSet,
    Failover,
    Federation,
    Need,
    Spec,
)


def selected_regions(spec: Spec) -> frozenset[str]:
    """Return the regions that a spec allows, regardless of its data."""
    return frozenset(spec.regions) - frozenset(spec.forbidden)


def _targets(spec: Spec) -> frozenset[str]:
    over = spec.failover
    return (
        selected_regions(spec) & frozenset(over.to)
        if over is not None and over.to
        else selected_regions(spec)
    )


def _can_fail_over(spec: Spec) -> bool:
    """Whether the spec's tasks may fail over at all."""
    return spec.failover is not None and bool(spec.failover.on) and bool(_targets(spec))


# -- specs


def spec_within(a: Spec, b: Spec) -> bool:
    """Whether `b` allows all that `a` allows."""
    if not selected_regions(a):
        return True
    needs = {each.dataset: each for each in a.data}
    return (
        selected_regions(a) <= selected_regions(b)
        and all(
            each.dataset in needs and _need_within(needs[each.dataset], each) for each in b.data
        )
        and _failover_within(a, b)
        and _back_within(a.back, b.back)
        and PARTITION_ACTIONS.index(a.on_cut) <= PARTITION_ACTIONS.index(b.on_cut)
    )


def _need_within(a: Need, b: Need) -> bool:
    return b.near == "wanted" or (a.near == "required" and a.behind_us <= b.behind_us)


def _failover_within(a: Spec, b: Spec) -> bool:
    one, other = a.failover, b.failover
    if one is None or other is None:
        # Tasks without a lease run on during a network partition, leased ones may not. So a spec that is leased but
        # never fails over allows less than one without a lease.
        return other is None and not _can_fail_over(a)
    if one.copies < other.copies:
        return False
    return not _can_fail_over(a) or (
        set(one.on) <= set(other.on)
        and one.after_us >= other.after_us
        and one.room <= other.room
        and _targets(a) <= _targets(b)
        and ("refusing" not in one.on or one.refusing_us >= other.refusing_us)
    )


def _back_within(a: Back, b: Back) -> bool:
    return a.when == "never" or (
        RETURN_MODES.index(a.when) <= RETURN_MODES.index(b.when)
        and a.stable_us >= b.stable_us
        and a.pace <= b.pace
    )


def spec_intersection(a: Spec, b: Spec, name: str) -> Spec:
    """Return a spec of this name that allows what both allow; its order of preference merges both orders."""
    regions = selected_regions(a) & selected_regions(b)
    needs: dict[str, Need] = {}
    for each in (*a.data, *b.data):
        other = needs.get(each.dataset, each)
        needs[each.dataset] = _need_intersection(each, other)
    ranked = [each for each in (a, b) if each.ranked]
    return Spec(
        name,
        _merged_order([each.regions for each in ranked], regions)
        if ranked
        else tuple(sorted(regions)),
        tuple(sorted({*a.forbidden, *b.forbidden})),
        tuple(needs.values()),
        _failover_intersection(a, b),
        _back_intersection(a.back, b.back),
        PARTITION_ACTIONS[
            min(PARTITION_ACTIONS.index(a.on_cut), PARTITION_ACTIONS.index(b.on_cut))
        ],
        min(a.lower, b.lower),
        min(a.upper, b.upper),
        ranked=bool(ranked),
    )


def _merged_order(orders: list[tuple[str, ...]], names: frozenset[str]) -> tuple[str, ...]:
    """Return the names by the sum of their ranks in all orders, then by name; independent of the sequence of orders."""
    return tuple(sorted(names, key=lambda name: (sum(each.index(name) for each in orders), name)))


def _need_intersection(a: Need, b: Need) -> Need:
    required = [each for each in (a, b) if each.near == "required"]
    return Need(
        a.dataset,
        "required" if required else "wanted",
        max(a.mib, b.mib),
        min(each.behind_us for each in required or (a, b)),
    )


def _failover_intersection(a: Spec, b: Spec) -> Failover | None:
    one, other = a.failover, b.failover
    if one is None or other is None:
        leased = one or other
        return None if leased is None else Failover((), 0, copies=leased.copies)
    copies = max(one.copies, other.copies)
    on = tuple(each for each in FAILOVER_CAUSES if each in one.on and each in other.on)
    targets = _targets(a) & _targets(b)
    if not on or not targets:
        return Failover((), 0, copies=copies)
    orders = [each.to for each in (one, other) if each.to]
    refusing = [each.refusing_us for each in (one, other) if "refusing" in each.on]
    return Failover(
        on,
        max(one.after_us, other.after_us),
        _merged_order(orders, targets) if orders else (),
        min(one.room, other.room),
        max(refusing, default=0),
        copies,
        max(one.cores, other.cores),
        max(one.mib, other.mib),
    )


def _back_intersection(a: Back, b: Back) -> Back:
    when = RETURN_MODES[min(RETURN_MODES.index(a.when), RETURN_MODES.index(b.when))]
    return (
        Back(when, max(a.stable_us, b.stable_us), min(a.pace, b.pace))
        if when != "never"
        else Back()
    )


# -- data sets


def dataset_within(a: DataSet, b: DataSet) -> bool:
    """Whether `b` has at least the copies of `a`, none of them further behind, and may be held wherever `a` may."""
    copies_of_b = dict(b.copies)
    return all(
        region in copies_of_b and behind_us >= copies_of_b[region] for region, behind_us in a.copies
    ) and (not b.stays or (bool(a.stays) and set(a.stays) <= set(b.stays)))


def dataset_intersection(a: DataSet, b: DataSet) -> DataSet | None:
    """Return the copies that both have, with the larger lag, in the residency of both.

    None where the two residencies have no region in common.
    """
    copies_of_b = dict(b.copies)
    stays = (
        tuple(sorted(set(a.stays) & set(b.stays))) if a.stays and b.stays else a.stays or b.stays
    )
    if a.stays and b.stays and not stays:
        # Specs that read an unknown data set allow no region; an empty `stays` would allow all regions instead.
        return None
    return DataSet(
        a.name,
        tuple(
            (region, max(behind_us, copies_of_b[region]))
            for region, behind_us in a.copies
            if region in copies_of_b
        ),
        stays,
    )


# -- whole federations


def _nameable(federation: Federation) -> dict[str, Spec]:
    """Return the specs that a Job may name, by name."""
    return {
        each.name: each
        for each in federation.specs
        if not each.name.startswith(INTERSECTION_PREFIX)
    }


def within(a: Federation, b: Federation) -> bool:
    """Whether `b` allows all that `a` allows: to Jobs that name a spec, and to Jobs of each class."""
    theirs, datasets = _nameable(b), b.datasets_by_name
    for name, spec in _nameable(a).items():
        if not spec_within(spec, theirs.get(name, Spec(name, ()))):
            return False
    for dataset in a.datasets:
        if dataset.name not in datasets or not dataset_within(dataset, datasets[dataset.name]):
            return False
    for task_class in a.spec_names_by_class.keys() | b.spec_names_by_class.keys():
        mine, other = a.spec_for(task_class), b.spec_for(task_class)
        if mine is None or not (_never_moves(mine) if other is None else spec_within(mine, other)):
            return False
    return True


def _never_moves(spec: Spec) -> bool:
    """Whether the spec's tasks never move. Tasks without a spec run anywhere and never move, so they allow no less."""
    return not selected_regions(spec) or (spec.back.when == "never" and not _can_fail_over(spec))


def intersection(a: Federation, b: Federation) -> Federation:
    """Return the federation that allows what both allow.

    A class with a different spec in each gets the intersection of the two, named INTERSECTION_PREFIX and the class.
    """
    mine, theirs = _nameable(a), _nameable(b)
    specs = {
        name: spec_intersection(mine[name], theirs[name], name)
        for name in mine.keys() & theirs.keys()
    }
    datasets = (
        dataset_intersection(each, b.datasets_by_name[each.name])
        for each in a.datasets
        if each.name in b.datasets_by_name
    )
    uses: dict[str, str] = {}
    for task_class in a.spec_names_by_class.keys() | b.spec_names_by_class.keys():
        names = {each.spec_names_by_class.get(task_class, "") for each in (a, b)}
        uses[task_class] = (
            next(iter(names)) if len(names) == 1 else INTERSECTION_PREFIX + task_class
        )
        if uses[task_class].startswith(INTERSECTION_PREFIX):
            specs[uses[task_class]] = _class_intersection(
                a.spec_for(task_class), b.spec_for(task_class), uses[task_class]
            )
    return normalized(
        Federation(
            tuple(specs.values()),
            tuple(each for each in datasets if each is not None),
            tuple(uses.items()),
        )
    )


def _class_intersection(a: Spec | None, b: Spec | None, name: str) -> Spec:
    if a is not None and b is not None:
        return spec_intersection(a, b, name)
    one = a or b or Spec(name, ())
    return replace(
        one,
        name=name,
        back=Back(),
        failover=one.failover and Failover((), 0, copies=one.failover.copies),
    )


def differences(a: Federation, b: Federation) -> list[str]:
    """Describe what differs in `b` from `a`, in one line for each difference."""
    out: list[str] = []
    for kind, one, other in (
        ("federation spec", a.specs, b.specs),
        ("data set", a.datasets, b.datasets),
    ):
        old: dict[str, Spec | DataSet] = {each.name: each for each in one}
        new: dict[str, Spec | DataSet] = {each.name: each for each in other}
        for name in sorted(old.keys() | new.keys()):
            before, after = old.get(name), new.get(name)
            if before is None or after is None:
                out.append(f"{kind} {name}: {'new' if before is None else 'gone'}")
            else:
                out += [
                    f"{kind} {name}, {each.name.removesuffix('_us')}: {getattr(before, each.name)} -> "
                    f"{getattr(after, each.name)}"
                    for each in fields(before)
                    if getattr(before, each.name) != getattr(after, each.name)
                ]
    mine, theirs = a.spec_names_by_class, b.spec_names_by_class
    return out + [
        f"class {each} goes by: {mine.get(each, 'no spec')} -> {theirs.get(each, 'no spec')}"
        for each in sorted(mine.keys() | theirs.keys())
        if mine.get(each) != theirs.get(each)
    ]
