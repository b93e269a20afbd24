"""A federation as text and back: one spelling for the same, short, and without a character that mail would escape.

Entries end with ";", their parts stand between spaces, lists between commas; "-" is nothing. Regions are told once,
and then by number:

    R east north south;D stock 1=0,2=2m 1,2;S orders 1,2 0 stock/r/40960/5m l/30s/2/50/0/1/0/0 s/10m/2 c 60 90 r;
    U batch orders;
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import replace
from functools import lru_cache

from wingbarrow.decide.federation.spec import (
    FAILOVER_CAUSES,
    MAX_DATASETS,
    MAX_DATASETS_PER_SPEC,
    MAX_REGIONS,
    MAX_REPLICAS,
    MAX_SPECS,
    PARTITION_ACTIONS,
    RETURN_MODES,
    Back,
    DataSet,
    Failover,
    Federation,
    Need,
    Spec,
)

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,126}")
NAME_RULE = "1 to 127 letters, digits, '.', '_' or '-', beginning with a letter or digit"
MAX_FEDERATION_CHARS = 112 * 1024  # characters of one text
MAX_CLASSES_WITH_SPEC = 256
MAX_DURATION_US = 7 * 86_400_000_000
MAX_MIB = 1 << 40
MAX_CORES = 10_000_000
_UNITS = (("h", 3_600_000_000), ("m", 60_000_000), ("s", 1_000_000), ("ms", 1_000), ("us", 1))
_KEPT = (
    8  # federations whose text and form are not worked out again: those in force, and those to come
)
Some = Callable[[str], tuple[str, ...]]
_TIME = re.compile(r"(0|[1-9]\d{0,17})(h|ms|us|m|s)")


class FederationError(ValueError):
    """A text that is no federation, or one out of bounds."""


@lru_cache(maxsize=_KEPT)
def normalized(federation: Federation) -> Federation:
    """The one form of the same federation: all in order, figures without a meaning left out."""
    made = Federation(
        tuple(sorted(_normal_spec(each) for each in federation.specs)),
        tuple(sorted(_normal_dataset(each) for each in federation.datasets)),
        tuple(sorted(federation.uses)),
    )
    return federation if made == federation else made


def _set(names: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(sorted(set(names))) if len(names) > 1 else names


def _normal_dataset(dataset: DataSet) -> DataSet:
    copies, stays = tuple(sorted(dataset.copies)), _set(dataset.stays)
    return (
        dataset
        if (copies, stays) == (dataset.copies, dataset.stays)
        else DataSet(dataset.name, copies, stays)
    )


def _normal_spec(spec: Spec) -> Spec:
    failover, back = spec.failover, spec.back
    if failover is not None:
        on = tuple(each for each in FAILOVER_CAUSES if each in failover.on)
        refusing_us = failover.refusing_us if "refusing" in on else 0
        if not on:
            failover = Failover((), 0, copies=failover.copies)
        elif (on, refusing_us) != (failover.on, failover.refusing_us):
            failover = replace(failover, on=on, refusing_us=refusing_us)
    if back.when == "never":
        back = Back()
    ranked = spec.ranked or len(spec.regions) < 2
    return Spec(
        spec.name,
        spec.regions if ranked else tuple(sorted(spec.regions)),
        _set(spec.forbidden),
        tuple(sorted(spec.data)),
        failover,
        back,
        spec.on_cut,
        spec.lower,
        spec.upper,
        ranked,
    )


# -- writing


def _time(time_us: int) -> str:
    if not time_us:
        return "0"
    unit, size = next((unit, size) for unit, size in _UNITS if time_us % size == 0)
    return f"{time_us // size}{unit}"


@lru_cache(maxsize=_KEPT)
def encode(federation: Federation) -> str:
    """The text of a federation in its normal form; "" for an empty one."""
    regions = sorted(
        {
            region
            for each in federation.specs
            for region in (
                *each.regions,
                *each.forbidden,
                *(each.failover.to if each.failover else ()),
            )
        }
        | {
            region
            for each in federation.datasets
            for region in (*(name for name, _ in each.copies), *each.stays)
        }
    )
    at = {region: str(number) for number, region in enumerate(regions)}

    def some(names: tuple[str, ...]) -> str:
        return ",".join(at[name] for name in names) or "-"

    out = ["R " + " ".join(regions)] if regions else []
    for dataset in federation.datasets:
        copies = (
            ",".join(f"{at[region]}={_time(behind_us)}" for region, behind_us in dataset.copies)
            or "-"
        )
        out.append(f"D {dataset.name} {copies} {some(dataset.stays)}")
    for spec in federation.specs:
        data = ",".join(
            f"{each.dataset}/{each.near[0]}/{each.mib}/{_time(each.behind_us)}"
            for each in spec.data
        )
        over, back, way = spec.failover, spec.back, "-"
        if over is not None:
            way = "/".join(
                (
                    "".join(each[0] for each in over.on) or "-",
                    _time(over.after_us),
                    some(over.to),
                    str(over.room),
                    _time(over.refusing_us),
                    str(over.copies),
                    str(over.cores),
                    str(over.mib),
                )
            )
        out.append(
            f"S {spec.name} {some(spec.regions)} {some(spec.forbidden)} {data or '-'} {way} "
            f"{back.when[0]}/{_time(back.stable_us)}/{back.pace} {spec.on_cut[0]} {spec.lower} {spec.upper} "
            f"{'r' if spec.ranked else 'u'}"
        )
    out += [f"U {task_class} {name}" for task_class, name in federation.uses]
    return "".join(each + ";" for each in out)


# -- reading


def _read_time(text: str) -> int:
    if text == "0":
        return 0
    match = _TIME.fullmatch(text)
    if match is None:
        raise FederationError(f"no time: {text[:20]}")
    return int(match[1]) * dict(_UNITS)[match[2]]


def _read_number(text: str) -> int:
    if not (text.isascii() and text.isdecimal() and len(text) <= 18):
        raise FederationError(f"no number: {text[:20]}")
    return int(text)


def _letter(letter: str, words: tuple[str, ...]) -> str:
    found = [word for word in words if word[0] == letter]
    if not found:
        raise FederationError(f"none of {', '.join(words)}: {letter[:20]}")
    return found[0]


@lru_cache(maxsize=_KEPT)
def decode(text: str) -> Federation:
    """A federation from its text; BadFederation says what is wrong. What it names need not be there."""
    if len(text) > MAX_FEDERATION_CHARS:
        raise FederationError(
            f"{len(text)} characters of specs and data sets; {MAX_FEDERATION_CHARS} are the most"
        )
    regions: list[str] = []
    specs: list[Spec] = []
    datasets: list[DataSet] = []
    uses: list[tuple[str, str]] = []

    def some(part: str) -> tuple[str, ...]:
        return () if part == "-" else tuple(regions[_read_number(each)] for each in part.split(","))

    try:
        if text and not text.endswith(";"):
            raise FederationError("cut off")
        for entry in text.split(";")[:-1]:
            kind, *parts = entry.split(" ")
            if kind == "R":
                regions += parts
            elif kind == "D":
                name, copies, stays = parts
                datasets.append(
                    DataSet(
                        name,
                        ()
                        if copies == "-"
                        else tuple(
                            (regions[_read_number(at)], _read_time(behind))
                            for at, _, behind in (each.partition("=") for each in copies.split(","))
                        ),
                        some(stays),
                    )
                )
            elif kind == "S":
                specs.append(_read_spec(parts, some))
            elif kind == "U":
                task_class, name = parts
                uses.append((task_class, name))
            else:
                raise FederationError(f"an entry of kind {kind[:20]}")
    except FederationError:
        raise
    except (ValueError, IndexError) as error:
        raise FederationError(f"no federation: {str(error)[:80]}") from None
    made = normalized(Federation(tuple(specs), tuple(datasets), tuple(uses)))
    problems = bounds_violations(made)
    if problems:
        raise FederationError("; ".join(problems))
    return made


def _read_spec(parts: list[str], some: Some) -> Spec:
    name, regions, forbidden, data, way, back, cut, lower, upper, ranked = parts
    failover = None
    if way != "-":
        on, after, to, room, refusing, copies, cores, mib = way.split("/")
        failover = Failover(
            () if on == "-" else tuple(_letter(each, FAILOVER_CAUSES) for each in on),
            _read_time(after),
            some(to),
            _read_number(room),
            _read_time(refusing),
            _read_number(copies),
            _read_number(cores),
            _read_number(mib),
        )
    needs = []
    for each in data.split(",") if data != "-" else ():
        dataset, near, much, behind = each.split("/")
        needs.append(
            Need(
                dataset,
                _letter(near, ("wanted", "required")),
                _read_number(much),
                _read_time(behind),
            )
        )
    when, stable, pace = back.split("/")
    return Spec(
        name,
        some(regions),
        some(forbidden),
        tuple(needs),
        failover,
        Back(_letter(when, RETURN_MODES), _read_time(stable), _read_number(pace)),
        _letter(cut, PARTITION_ACTIONS),
        _read_number(lower),
        _read_number(upper),
        _letter(ranked, ("ranked", "unranked")) == "ranked",
    )


@lru_cache(maxsize=_KEPT)
def bounds_violations(federation: Federation) -> tuple[str, ...]:
    """Names and figures out of bounds, in words: what no version, nor what two of them both allow, may have."""
    out: list[str] = []

    def want(good: bool, words: str) -> None:
        if not good:
            out.append(words)

    want(len(federation.specs) <= MAX_SPECS + MAX_CLASSES_WITH_SPEC, f"more than {MAX_SPECS} specs")
    want(len(federation.datasets) <= MAX_DATASETS, f"more than {MAX_DATASETS} data sets")
    want(
        len(federation.uses) <= MAX_CLASSES_WITH_SPEC,
        f"more than {MAX_CLASSES_WITH_SPEC} classes with a spec",
    )
    names = {
        *(each.name for each in federation.specs),
        *(each.name for each in federation.datasets),
        *(name for pair in federation.uses for name in pair),
    }
    regions = set()
    for spec in federation.specs:
        over = spec.failover
        regions |= {*spec.regions, *spec.forbidden, *(over.to if over else ())}
        names |= {each.dataset for each in spec.data}
        good = (
            _once(spec.regions)
            and _once(tuple(each.dataset for each in spec.data))
            and len(spec.data) <= 2 * MAX_DATASETS_PER_SPEC
            and 0 <= spec.lower < spec.upper <= 100
            and all(
                0 <= each.mib <= MAX_MIB and 0 <= each.behind_us <= MAX_DURATION_US
                for each in spec.data
            )
            and 0 <= spec.back.stable_us <= MAX_DURATION_US
            and 1 <= spec.back.pace <= 1000
        )
        if over is not None:
            good = (
                good
                and _once(over.to)
                and 0 <= over.after_us <= MAX_DURATION_US
                and 1 <= over.room <= 100
                and 0 <= over.refusing_us <= MAX_DURATION_US
                and 1 <= over.copies <= MAX_REPLICAS
                and 0 <= over.cores <= MAX_CORES
                and 0 <= over.mib <= MAX_MIB
            )
        want(good, f"spec {spec.name[:60]}: a name twice, or a figure out of its bounds")
    for dataset in federation.datasets:
        regions |= {*(region for region, _ in dataset.copies), *dataset.stays}
        want(
            _once(tuple(region for region, _ in dataset.copies))
            and all(0 <= behind <= MAX_DURATION_US for _, behind in dataset.copies),
            f"data set {dataset.name[:60]}: a region twice, or a figure out of its bounds",
        )
    want(len(regions) <= 2 * MAX_REGIONS, f"more than {MAX_REGIONS} regions")
    bad = sorted(name for name in names | regions if not NAME_PATTERN.fullmatch(name))
    want(not bad, f"{bad[0][:60] if bad else ''!r}: a name of {NAME_RULE} is wanted")
    want(_once(tuple(each.name for each in federation.specs)), "a spec is named twice")
    want(_once(tuple(each.name for each in federation.datasets)), "a data set is named twice")
    want(_once(tuple(task_class for task_class, _ in federation.uses)), "a class has two specs")
    return tuple(out)


def _once(names: tuple[str, ...]) -> bool:
    return len(set(names)) == len(names)
