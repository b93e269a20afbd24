"""The generated blocks of the capacity page, each as lines of Markdown, from a results file and from typed rows."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass

from benchmarks.capacity import target
from benchmarks.capacity.bounds import bounds
from benchmarks.capacity.days import GROUPS
from benchmarks.capacity.estimate import (
    Estimate,
    How,
    Key,
    estimate,
    growth,
    points_of,
    shown,
    size_reaching,
    slope_of,
    spread_text,
)
from benchmarks.capacity.results import Point, Results, Slope
from benchmarks.capacity.roles import ROLES
from benchmarks.capacity.rows import Budget, Derived, Input, Missing, Role, Row, State

NOT_MEASURED = "not measured"
SUBSET = " (subset)"
SUBSET_SIZES = (1_000, 3_000, 13_000)
SUBSET_MEASURES = (
    *(
        Key("placer", "machines", measure)
        for measure in (
            "resident memory",
            "descriptors",
            "time until all machines are seen",
            "processor share idle with bookmarks",
            "bytes received idle with bookmarks",
            "placements a second, 32 outstanding",
            "processor for one placement",
            "time to place p50",
            "time to place p99",
        )
    ),
    Key("list client", "machines", "processor for one changed entry"),
)
BYTES_OF = {"MB": 1e6, "kB": 1e3, "KB": 1e3, "B": 1.0, "bytes": 1.0}


@dataclass(frozen=True, slots=True)
class Known:
    """All named figures of the page that rest on no measurement, and the results."""

    figures: Mapping[str, float]
    results: Results


def known(results: Results) -> Known:
    """The target, bounds, and all that follows from both."""
    figures = target.figures() | {each.ident: each.value for each in bounds()}
    for each in (one for group in GROUPS.values() for one in group if not one.inputs):
        if all(name in figures for name in target.names_of(each.expression)):
            figures[each.ident] = target.evaluate(each.expression, figures)
    return Known(figures, results)


def exact(value: float) -> str:
    """A number within an expression: whole ones with commas, others with four significant digits."""
    if value == int(value) or abs(value) >= 1_000:
        return f"{value:,.0f}"
    return f"{value:.4g}" if abs(value) >= 0.0001 else f"{value:.8f}"


def anchor(ident: str) -> str:
    """What links lead to."""
    return f'<a id="{ident}"></a>'


def written(expression: str, figures: Mapping[str, float]) -> str:
    """An expression with numbers in place of names."""
    return re.sub(r"[a-z_]\w*", lambda found: exact(figures[found[0]]), expression)


def target_block(_: Known) -> list[str]:
    """The target and what it does not say, a line for each topic, with the reading taken of each open term."""
    topics: dict[str, list[str]] = {}
    for each in (*target.TARGET, *target.ASSUMED):
        reading = f" ({each.reading})" if each.reading else ""
        topics.setdefault(each.topic, []).append(
            f"{anchor(each.ident)}{each.what}: {shown(each.value)} {each.unit}{reading}"
        )
    return [f"- **{topic}**: {'; '.join(said)}." for topic, said in topics.items()]


def worked_block(state: Known) -> list[str]:
    """What follows from the target by arithmetic."""
    lines = ["| what | arithmetic | comes to |", "| --- | --- | --- |"]
    lines += [
        _worked_line(each.ident, each.what, each.expression, each.unit, state.figures)
        for each in target.WORKED
    ]
    return lines


def scales_block(_: Known) -> list[str]:
    """How large what is varied is in each column of the tables."""
    lines = [
        "| column | " + " | ".join(target.WHOLE) + " |",
        "| --- " * (len(target.WHOLE) + 1) + "|",
    ]
    for scale in target.SCALES:
        sizes = (f"{target.size_at(varies, scale):,}" for varies in target.WHOLE)
        lines.append(f"| {scale.title} | " + " | ".join(sizes) + " |")
    return lines


def bounds_block(_: Known) -> list[str]:
    """Bounds of the program that the page names, a line for each topic."""
    topics: dict[str, list[str]] = {}
    for each in bounds():
        topics.setdefault(each.topic, []).append(
            f"{anchor(each.ident)}{each.what}: {shown(each.value)} {each.unit} (`{each.path}`)"
        )
    return [f"- **{topic}**: {'; '.join(said)}." for topic, said in topics.items()]


def group_block(state: Known, name: str) -> list[str]:
    """One group of figures of bad days, or of the machines set aside."""
    lines = ["| what | arithmetic | comes to |", "| --- | --- | --- |"]
    figures = dict(state.figures)
    for each in GROUPS[name]:
        lines.append(derived_line(state, each, figures))
    return lines


def derived_line(state: Known, each: Derived, figures: dict[str, float]) -> str:
    """One of them, and its value into `figures`; "not measured" where an input, or what it names, is."""
    head = f"| {anchor(each.ident)}{each.what}"
    figures |= inputs_of(state.results, each.inputs)
    lacking = [given.key for given in each.inputs if given.name not in figures]
    if lacking:
        return f"{head} | `{each.expression}` | {NOT_MEASURED}: no figure of {words(lacking[0])} |"
    if not all(name in figures for name in target.names_of(each.expression)):
        return f"{head} | `{each.expression}` | {NOT_MEASURED}: rests on what is not |"
    figures[each.ident] = target.evaluate(each.expression, figures)
    what = each.what + sources_of(each.inputs)
    return _worked_line(each.ident, what, each.expression, each.unit, figures)


def inputs_of(results: Results, inputs: tuple[Input, ...]) -> dict[str, float]:
    """The measured figures that an expression names, by name; what is not measured is left out."""
    found: dict[str, float] = {}
    for given in inputs:
        if given.alone:
            values = {point.value for point in points_of(results, given.key)}
            if len(values) == 1:
                found[given.name] = values.pop()
            continue
        size = target.size_at(
            given.key.varies, next(one for one in target.SCALES if one.ident == given.scale)
        )
        slope, figure = slope_of(results, given.key), estimate(results, given.key, size)
        if (
            slope is not None and figure is not None and figure.value >= 0
        ):  # a line below 0 gives no figure
            found[given.name] = growth(slope, size) / size if given.each else figure.value
    return found


def sources_of(inputs: tuple[Input, ...]) -> str:
    """Links to the measures of an expression, with what of them is taken."""
    titles = {scale.ident: scale.title for scale in target.SCALES}
    if any(given.alone for given in inputs):
        return "".join(f" (measured: {words(given.key)}, alone)" for given in inputs)
    taken = [
        f"[{given.key.measure}](#{given.key.ident}), "
        + ("each more" if given.each else titles[given.scale])
        for given in inputs
    ]
    return f" (from {'; '.join(taken)})" if taken else ""


def role_block(state: Known, role: Role) -> list[str]:
    """State, figures, mechanisms and what is missing of one role, the smallest size at which it breaks first."""
    lines = [
        f"{role.about} State at the whole target: {'; '.join(_state_words(state, each) for each in role.states)}.",
        "",
        "| figure | " + " | ".join(scale.title for scale in target.SCALES) + " | budget | source |",
        "| --- " * 7 + "|",
        *(_row_line(state, row) for row in role.rows),
        "- **Mechanism**: "
        + "; ".join(f"`{each.path}` ({each.carries})" for each in role.mechanisms)
        + ".",
    ]
    return lines + missing_lines(state, role)


def missing_lines(state: Known, role: Role) -> list[str]:
    """What is missing of a role, the smallest size first; what cannot be worked out stands last."""
    found = sorted(
        ((breaks_at(state, each), index, each) for index, each in enumerate(role.missing)),
        key=lambda each: (each[0] is None, each[0] or 0.0, each[1]),
    )
    return [
        f"- {_label(state, share, each)}, {_breaks_words(state, share, each)}: {each.what}."
        for share, _, each in found
    ]


def breaks_at(state: Known, each: Missing) -> float | None:
    """The share of the target at which it breaks; None where that is not known."""
    if each.key is None:
        figures = {**state.figures, **inputs_of(state.results, each.inputs)}
        lacking = [name for name in target.names_of(each.breaks or "0") if name not in figures]
        return None if lacking or not each.breaks else target.evaluate(each.breaks, figures)
    slope = slope_of(state.results, each.key)
    if slope is None:
        return None
    size = size_reaching(slope, target.evaluate(each.budget, state.figures))
    return None if size is None else size / target.figures()[target.WHOLE[each.key.varies]]


def subset_block(state: Known) -> list[str]:
    """The mechanism of subsets of machines, before and after, at the sizes that both were measured at."""
    titles = " | ".join(f"{size:,}: all, subset" for size in SUBSET_SIZES)
    lines = [
        f"| measure, by machines | {titles} | runs: all; subset |",
        "| --- " * (len(SUBSET_SIZES) + 2) + "|",
    ]
    for plain in SUBSET_MEASURES:
        key = Key(plain.role, plain.varies, plain.measure + SUBSET)
        points, before = points_of(state.results, key), points_of(state.results, plain)
        if points and before:
            cells = [
                f"{_measured(state.results, plain, size)}, {_measured(state.results, key, size)}"
                for size in SUBSET_SIZES
            ]
            runs = f"{spread_text(before)}; {spread_text(points)}"
            lines.append(
                f"| {plain.role}: {plain.measure}, {points[0].unit} | {' | '.join(cells)} | {runs} |"
            )
    if len(lines) == 2:
        lines.append(
            f"| {NOT_MEASURED}: the results have no measure of a subset |"
            + " - |" * (len(SUBSET_SIZES) + 1)
        )
    return lines


def measured_on_block(state: Known) -> list[str]:
    """Which machine, when."""
    if not state.results.points:
        return [
            f"{NOT_MEASURED}: no results are on record yet, so that each measured figure below says so."
        ]
    return [
        f"Taken {state.results.taken} on {state.results.machine}: {len(state.results.points)} points, "
        f"{len(state.results.slopes)} lines."
    ]


def blocks(results: Results) -> dict[str, list[str]]:
    """All generated blocks, by name."""
    state = known(results)
    out = {
        "measured-on": measured_on_block(state),
        "target": target_block(state),
        "worked": worked_block(state),
        "scales": scales_block(state),
        "bounds": bounds_block(state),
        "subset": subset_block(state),
    }
    out |= {name: group_block(state, name) for name in GROUPS}
    return out | {f"role-{role.ident}": role_block(state, role) for role in ROLES}


def words(key: Key) -> str:
    """A measure as the page calls it."""
    return f"{key.role}: {key.measure}, by {key.varies}"


def source_words(slope: Slope | None, points: list[Point]) -> str:
    """From which sizes a figure is, how many runs of each there were, and how far its line is off them."""
    sizes = ", ".join(f"{point.size:,}" for point in points) or "no size"
    line = (
        "no line" if slope is None else f"{line_words(slope)}, off by {slope.residual * 100:.0f}%"
    )
    return f"at {sizes}; {spread_text(points)}; {line}"


def line_words(slope: Slope) -> str:
    """A line as an expression of the size."""
    if slope.model == "flat":
        return f"flat, {shown(slope.intercept)}"
    grown = "size" if slope.exponent == 1 else f"size^{slope.exponent:.2f}"
    return f"{slope.model}, {shown(slope.intercept)} + {slope.slope:.3g} x {grown}"


def figure_words(found: Estimate | None, over: bool = False) -> str:
    """A figure with what it rests on: `(i)` between measured sizes, `(e x2.6)` beyond them; bold where `over`."""
    if found is None:
        return NOT_MEASURED
    marks = {How.MEASURED: "", How.BETWEEN: " (i)", How.BEYOND: f" (e x{far_words(found.far)})"}
    figure = "below 0" if found.value < 0 else shown(found.value)
    return (f"**{figure}**" if over else figure) + marks[found.how]


def far_words(far: float) -> str:
    """How many times a size is from the nearest measured one."""
    return f"{far:.0f}" if far >= 10 else f"{far:.2g}"


def _measured(results: Results, key: Key, size: int) -> str:
    found = [point for point in points_of(results, key) if point.size == size]
    return shown(found[0].value) if found else NOT_MEASURED


def _worked_line(
    ident: str, what: str, expression: str, unit: str, figures: Mapping[str, float]
) -> str:
    return f"| {anchor(ident)}{what} | {written(expression, figures)} | {shown(figures[ident])} {unit} |"


def _state_words(state: Known, each: State) -> str:
    entries = target.evaluate(each.entries, state.figures)
    count = f"{each.what}, {entries:,.0f}"
    if each.bound:
        size = state.figures[each.bound]
        return f"{count} x {exact(size)} B ([bound](#{each.bound})) = {shown(entries * size / 1e6)} MB at most"
    slope = slope_of(state.results, each.each) if each.each else None
    if each.each is None or slope is None:
        return f"{count}, bytes {NOT_MEASURED}"
    if slope.model == "flat":
        return f"{count}, {shown(slope.intercept)} {slope.unit} whatever their number ([line](#{each.each.ident}))"
    total = growth(slope, entries) * BYTES_OF[slope.unit]
    return f"{count} x {shown(total / entries)} B ([line](#{each.each.ident})) = {shown(total / 1e6)} MB"


def _row_line(state: Known, row: Row) -> str:
    slope, points = slope_of(state.results, row.key), points_of(state.results, row.key)
    head, budget = f"| {anchor(row.key.ident)}{words(row.key)}", _budget_words(state, row.budget)
    if slope is None and not points:
        return f"{head} | {NOT_MEASURED} | - | - | - | {budget} | {row.reason} |"
    cells = [_cell(state, row, target.size_at(row.key.varies, scale)) for scale in target.SCALES]
    unit = slope.unit if slope else points[0].unit
    return (
        f"{head}, {unit} | " + " | ".join(cells) + f" | {budget} | {source_words(slope, points)} |"
    )


def _cell(state: Known, row: Row, size: int) -> str:
    """One figure, bold where it is over its budget; the point alone where there is no line."""
    found = estimate(state.results, row.key, size)
    if found is None:
        points = [point for point in points_of(state.results, row.key) if point.size == size]
        found = Estimate(points[0].value, How.MEASURED, 1.0) if points else None
    if found is None or row.budget is None:
        return figure_words(found)
    limit = target.evaluate(row.budget.expression, state.figures)
    return figure_words(found, found.value < limit if row.budget.least else found.value > limit)


def _budget_words(state: Known, budget: Budget | None) -> str:
    if budget is None:
        return "none stated"
    figure = ("at least " if budget.least else "") + shown(
        target.evaluate(budget.expression, state.figures)
    )
    return f"{figure} ({budget.words})" if budget.words else figure


def _label(state: Known, share: float | None, each: Missing) -> str:
    """What holds at the whole target is told apart from what is missing there."""
    holds = (
        share > 1
        if share is not None
        else each.key is not None and slope_of(state.results, each.key) is not None
    )
    return "Not missing yet" if holds else "**Missing**"


def _breaks_words(state: Known, share: float | None, each: Missing) -> str:
    if share is None:
        wanted = (*(given.key for given in each.inputs), *([each.key] if each.key else []))
        if any(
            slope_of(state.results, key) is None and not points_of(state.results, key)
            for key in wanted
        ):
            return f"{NOT_MEASURED} at which size it breaks"
        return "by its line at any size" if each.key is not None else "no size is known"
    if share == 0:
        return "breaks at any size"
    machines = f"{share * state.figures['workers']:,.0f} machines"
    figures = {**state.figures, **inputs_of(state.results, each.inputs)}
    by = (
        f"by the [line](#{each.key.ident})"
        if each.key
        else written(each.breaks, figures) + sources_of(each.inputs)
    )
    return (
        f"{'breaks at' if share <= 1 else 'up to'} {shown(share)} of the target ({machines}, {by})"
    )
