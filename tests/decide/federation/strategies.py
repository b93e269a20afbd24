"""Hypothesis strategies for federations, and a plain model of what a federation allows."""

from __future__ import annotations

from hypothesis import strategies as st

from wingbarrow.decide.federation import encoding
from wingbarrow.decide.federation import spec as s

REGIONS = ("north", "south", "east")
DATASETS = ("d1", "d2")
NAMES = ("orders", "mail")
CLASSES = ("web", "pay")
_REGION_LISTS = st.lists(st.sampled_from(REGIONS), unique=True, max_size=3).map(tuple)
_NEEDS = st.lists(
    st.builds(
        s.Need,
        st.sampled_from(DATASETS),
        st.sampled_from(s.LOCALITIES),
        st.integers(0, 1),
        st.integers(0, 2),
    ),
    unique_by=lambda each: each.dataset,
    max_size=2,
).map(tuple)
_FAILOVERS = st.builds(
    s.Failover,
    st.lists(st.sampled_from(s.FAILOVER_CAUSES), unique=True, max_size=3).map(tuple),
    st.integers(10, 11),
    _REGION_LISTS,
    st.sampled_from([50, 100]),
    st.integers(0, 2),
    st.integers(1, 2),
    st.integers(0, 1),
    st.integers(0, 1),
)
_BACKS = st.builds(s.Back, st.sampled_from(s.RETURN_MODES), st.integers(0, 2), st.integers(1, 2))
_SPECS = st.builds(
    s.Spec,
    st.just(""),
    _REGION_LISTS,
    _REGION_LISTS,
    _NEEDS,
    st.none() | _FAILOVERS,
    _BACKS,
    st.sampled_from(s.PARTITION_ACTIONS),
    st.sampled_from([50, 60]),
    st.sampled_from([80, 90]),
    st.booleans(),
)


def _named(parts: tuple[dict[str, s.Spec], dict[str, s.DataSet], dict[str, str]]) -> s.Federation:
    specs, sets, uses = parts
    return encoding.normalized(
        s.Federation(
            tuple(
                s.Spec(name, *(getattr(each, part) for part in s.Spec.__slots__[1:]))
                for name, each in specs.items()
            ),
            tuple(s.DataSet(name, each.copies, each.stays) for name, each in sets.items()),
            tuple(uses.items()),
        )
    )


_DATASETS = st.builds(
    s.DataSet,
    st.just(""),
    st.dictionaries(st.sampled_from(REGIONS), st.integers(0, 2)).map(
        lambda found: tuple(found.items())
    ),
    _REGION_LISTS,
)
FEDERATIONS = st.tuples(
    st.dictionaries(st.sampled_from(NAMES), _SPECS),
    st.dictionaries(st.sampled_from(DATASETS), _DATASETS),
    st.dictionaries(st.sampled_from(CLASSES), st.sampled_from(NAMES)),
).map(_named)


# A leased task does nothing that one without a lease may not do. The converse does not hold: a leased task stops when
# its lease expires.
_UNLEASED = (("runs without a lease",), *(("runs with replicas", copies) for copies in range(1, 4)))


def allowed_acts(federation: s.Federation) -> set[tuple[object, ...]]:
    """Return all that may happen to Jobs of each class, for each spec that they may name or none, as tuples."""
    out: set[tuple[object, ...]] = set()
    for task_class in CLASSES:
        for named in ("", *NAMES, *(each.name for each in federation.specs)):
            spec = federation.spec_for(task_class, named)
            job = (task_class, named)
            if spec is None:
                out |= {(*job, "runs", region) for region in REGIONS}
                out |= {(*job, *each) for each in (*_UNLEASED, ("runs on during a partition",))}
                continue
            allowed = [region for region in REGIONS if _may_run(spec, federation, region)]
            out |= {(*job, "runs", region) for region in allowed}
            if not allowed:
                continue
            if spec.on_cut == "carry-on":
                out.add((*job, "runs on during a partition"))
            over = spec.failover
            if over is None:
                out |= {(*job, *each) for each in _UNLEASED}
            else:
                out |= {(*job, "runs with replicas", copies) for copies in range(over.copies, 4)}
                for on in over.on:
                    for after in range(over.after_us, 13):
                        for home in REGIONS:
                            out |= {
                                (*job, "fails over on", on, "after", after, home, region)
                                for region in spec.failover_targets(home)
                                if region in allowed
                            }
            if spec.back.when != "never":
                for when in s.RETURN_MODES[1 : s.RETURN_MODES.index(spec.back.when) + 1]:
                    out |= {
                        (*job, "returns", when, stable, pace)
                        for stable in range(spec.back.stable_us, 4)
                        for pace in range(1, spec.back.pace + 1)
                    }
    return out


def _may_run(spec: s.Spec, federation: s.Federation, region: str) -> bool:
    if region not in spec.regions or region in spec.forbidden:
        return False
    for need in spec.data:
        found = [each for each in federation.datasets if each.name == need.dataset]
        if not found or (found[0].stays and region not in found[0].stays):
            return False
        behind = dict(found[0].copies).get(region)
        if need.near == "required" and (behind is None or behind > need.behind_us):
            return False
    return True
