"""Canonical text encoding of federations: one text for equal ones, short, without characters that JSON would escape.

Entries end with ";". Their fields are separated by spaces, list items by commas, parts of an item by "/"; "-" is an
empty field. The regions are listed once (R) and then given by index; D is a data set, S a spec, U the spec that a class
uses:

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
MAX_FEDERATION_CHARS = 112 * 1024  # of one encoded federation
MAX_CLASSES_WITH_SPEC = 256
MAX_DURATION_US = 7 * 86_400_000_000  # of every duration in a federation
MAX_MIB = 1 << 40
MAX_CORES = 10_000_000
_UNITS = (("h", 3_600_000_000), ("m", 60_000_000), ("s", 1_000_000), ("ms", 1_000), ("us", 1))
# Federations with cached results: those of the rule sets in force, and those being proposed.
_CACHE_SIZE = 8
RegionsDecoder = Callable[[str], tuple[str, ...]]
_TIME = re.compile(r"(0|[1-9]\d{0,17})(h|ms|us|m|s)")


class FederationError(ValueError):
    """A text that does not encode a federation, or one that exceeds the bounds."""


@lru_cache(maxsize=_CACHE_SIZE)
def normalized(federation: Federation) -> Federation:
    """Return the canonical form of a federation: sorted, and without values that have no effect."""
    made = Federation(
        tuple(sorted(_normal_spec(each) for each in federation.specs)),
        tuple(sorted(_normal_dataset(each) for each in federation.datasets)),
        tuple(sorted(federation.uses)),
    )
    return federation if made == federation else made


def _sorted_unique(names: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(sorted(set(names))) if len(names) > 1 else names


def _normal_dataset(dataset: DataSet) -> DataSet:
    copies, stays = tuple(sorted(dataset.copies)), _sorted_unique(dataset.stays)
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
        _sorted_unique(spec.forbidden),
        tuple(sorted(spec.data)),
        failover,
        back,
        spec.on_cut,
        spec.lower,
        spec.upper,
        ranked,
    )


# -- encoding


def _encode_duration(time_us: int) -> str:
    if not time_us:
        return "0"
    unit, size = next((unit, size) for unit, size in _UNITS if time_us % size == 0)
    return f"{time_us // size}{unit}"


@lru_cache(maxsize=_CACHE_SIZE)
def encode(federation: Federation) -> str:
    """Return the text of a federation in its canonical form; "" for an empty one."""
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
    index_by_region = {region: str(index) for index, region in enumerate(regions)}

    def encode_regions(names: tuple[str, ...]) -> str:
        return ",".join(index_by_region[name] for name in names) or "-"

    out = ["R " + " ".join(regions)] if regions else []
    for dataset in federation.datasets:
        copies = (
            ",".join(
                f"{index_by_region[region]}={_encode_duration(behind_us)}"
                for region, behind_us in dataset.copies
            )
            or "-"
        )
        out.append(f"D {dataset.name} {copies} {encode_regions(dataset.stays)}")
    for spec in federation.specs:
        data = ",".join(
            f"{each.dataset}/{each.near[0]}/{each.mib}/{_encode_duration(each.behind_us)}"
            for each in spec.data
        )
        over, back, failover = spec.failover, spec.back, "-"
        if over is not None:
            failover = "/".join(
                (
                    "".join(each[0] for each in over.on) or "-",
                    _encode_duration(over.after_us),
                    encode_regions(over.to),
                    str(over.room),
                    _encode_duration(over.refusing_us),
                    str(over.copies),
                    str(over.cores),
                    str(over.mib),
                )
            )
        out.append(
            f"S {spec.name} {encode_regions(spec.regions)} {encode_regions(spec.forbidden)} "
            f"{data or '-'} {failover} "
            f"{back.when[0]}/{_encode_duration(back.stable_us)}/{back.pace} {spec.on_cut[0]} {spec.lower} {spec.upper} "
            f"{'r' if spec.ranked else 'u'}"
        )
    out += [f"U {task_class} {name}" for task_class, name in federation.uses]
    return "".join(each + ";" for each in out)


# -- decoding


def _decode_duration(text: str) -> int:
    if text == "0":
        return 0
    match = _TIME.fullmatch(text)
    if match is None:
        raise FederationError(f"no time: {text[:20]}")
    return int(match[1]) * dict(_UNITS)[match[2]]


def _decode_number(text: str) -> int:
    if not (text.isascii() and text.isdecimal() and len(text) <= 18):
        raise FederationError(f"no number: {text[:20]}")
    return int(text)


def _decode_initial(letter: str, words: tuple[str, ...]) -> str:
    """Return the word that begins with a letter."""
    found = [word for word in words if word[0] == letter]
    if not found:
        raise FederationError(f"none of {', '.join(words)}: {letter[:20]}")
    return found[0]


@lru_cache(maxsize=_CACHE_SIZE)
def decode(text: str) -> Federation:
    """Decode a federation; raises FederationError. Specs and data sets that it refers to need not exist."""
    if len(text) > MAX_FEDERATION_CHARS:
        raise FederationError(
            f"{len(text)} characters of specs and data sets; {MAX_FEDERATION_CHARS} are the most"
        )
    regions: list[str] = []
    specs: list[Spec] = []
    datasets: list[DataSet] = []
    uses: list[tuple[str, str]] = []

    def decode_regions(part: str) -> tuple[str, ...]:
        return (
            () if part == "-" else tuple(regions[_decode_number(each)] for each in part.split(","))
        )

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
                            (regions[_decode_number(at)], _decode_duration(behind))
                            for at, _, behind in (each.partition("=") for each in copies.split(","))
                        ),
                        decode_regions(stays),
                    )
                )
            elif kind == "S":
                specs.append(_decode_spec(parts, decode_regions))
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


def _decode_spec(parts: list[str], decode_regions: RegionsDecoder) -> Spec:
    name, regions, forbidden, data, failover_text, back, cut, lower, upper, ranked = parts
    failover = None
    if failover_text != "-":
        on, after, to, room, refusing, copies, cores, mib = failover_text.split("/")
        failover = Failover(
            () if on == "-" else tuple(_decode_initial(each, FAILOVER_CAUSES) for each in on),
            _decode_duration(after),
            decode_regions(to),
            _decode_number(room),
            _decode_duration(refusing),
            _decode_number(copies),
            _decode_number(cores),
            _decode_number(mib),
        )
    needs = []
    for each in data.split(",") if data != "-" else ():
        dataset, near, mib, behind = each.split("/")
        needs.append(
            Need(
                dataset,
                _decode_initial(near, ("wanted", "required")),
                _decode_number(mib),
                _decode_duration(behind),
            )
        )
    when, stable, pace = back.split("/")
    return Spec(
        name,
        decode_regions(regions),
        decode_regions(forbidden),
        tuple(needs),
        failover,
        Back(_decode_initial(when, RETURN_MODES), _decode_duration(stable), _decode_number(pace)),
        _decode_initial(cut, PARTITION_ACTIONS),
        _decode_number(lower),
        _decode_number(upper),
        _decode_initial(ranked, ("ranked", "unranked")) == "ranked",
    )


@lru_cache(maxsize=_CACHE_SIZE)
def bounds_violations(federation: Federation) -> tuple[str, ...]:
    """Describe names and values that exceed the bounds of any version, and of the intersection of two versions."""
    out: list[str] = []

    def require(is_met: bool, message: str) -> None:
        if not is_met:
            out.append(message)

    require(
        len(federation.specs) <= MAX_SPECS + MAX_CLASSES_WITH_SPEC, f"more than {MAX_SPECS} specs"
    )
    require(len(federation.datasets) <= MAX_DATASETS, f"more than {MAX_DATASETS} data sets")
    require(
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
        is_in_bounds = (
            _is_unique(spec.regions)
            and _is_unique(tuple(each.dataset for each in spec.data))
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
            is_in_bounds = (
                is_in_bounds
                and _is_unique(over.to)
                and 0 <= over.after_us <= MAX_DURATION_US
                and 1 <= over.room <= 100
                and 0 <= over.refusing_us <= MAX_DURATION_US
                and 1 <= over.copies <= MAX_REPLICAS
                and 0 <= over.cores <= MAX_CORES
                and 0 <= over.mib <= MAX_MIB
            )
        require(is_in_bounds, f"spec {spec.name[:60]}: a name twice, or a figure out of its bounds")
    for dataset in federation.datasets:
        regions |= {*(region for region, _ in dataset.copies), *dataset.stays}
        require(
            _is_unique(tuple(region for region, _ in dataset.copies))
            and all(0 <= behind <= MAX_DURATION_US for _, behind in dataset.copies),
            f"data set {dataset.name[:60]}: a region twice, or a figure out of its bounds",
        )
    require(len(regions) <= 2 * MAX_REGIONS, f"more than {MAX_REGIONS} regions")
    bad = sorted(name for name in names | regions if not NAME_PATTERN.fullmatch(name))
    require(not bad, f"{bad[0][:60] if bad else ''!r}: a name of {NAME_RULE} is wanted")
    require(_is_unique(tuple(each.name for each in federation.specs)), "a spec is named twice")
    require(
        _is_unique(tuple(each.name for each in federation.datasets)), "a data set is named twice"
    )
    require(
        _is_unique(tuple(task_class for task_class, _ in federation.uses)), "a class has two specs"
    )
    return tuple(out)


def _is_unique(names: tuple[str, ...]) -> bool:
    return len(set(names)) == len(names)
