"""Works the capacity page's figures out again from the points alone: nothing here uses the generator or its estimates.

Lines are fitted anew by numpy's least squares on the points; sizes of the columns stand here by hand.
"""

from __future__ import annotations

import re

import numpy as np

from benchmarks.capacity.results import Point, Results

SCALES = ("today", "tenth", "third", "all")
TITLES = {"today (400 machines)": "today", "1/10": "tenth", "1/3": "third", "all": "all"}
SIZES = {
    "machines": (400, 1_300, 4_334, 13_000),
    "placers": (16, 52, 174, 520),
    "tasks": (597, 597, 597, 597),
    "teams": (12, 37, 124, 370),
    "changes": (431, 1_400, 4_667, 14_000),
    "gang": (16, 52, 171, 512),
}
WHOLE = {"machines": 13_000, "placers": 520, "teams": 370, "changes": 14_000, "gang": 512}
WORKERS = 13_000
ROUNDED = 0.006  # three digits are shown: half of the last one is 0.5% of 1.00
ROW = re.compile(r'^\| <a id="(m-[\w-]+)"></a>(.*)\|$', re.M)
WORKED = re.compile(r'^\| <a id="([\w-]+)"></a>([^|]*)\| ([^|`]*) \| ([\d.,e-]+) [^|]*\|$', re.M)
LINKED = re.compile(r"\[[^\]]*\]\(#(m-[\w-]+)\), (each more|today \(400 machines\)|1/10|1/3|all)")
BREAKS = re.compile(r"(?:breaks at|up to) ([\d.,e-]+) of the target \(([\d,]+) machines, (.*)\): ")
ALONE = re.compile(
    r"([\d.,+*/() -]+) \(measured: ([\w ]+): ([^;()]+(?:\([\w ]+\)[^;()]*)?), by (\w+), alone\)"
)
BY_LINE = re.compile(r"by the \[line\]\(#(m-[\w-]+)\)$")


def ident_of(point: Point) -> str:
    """The anchor that the page gives a measure."""
    return "m-" + "-".join(
        re.findall("[a-z0-9]+", f"{point.role} {point.varies} {point.measure}".lower())
    )


def measured(results: Results) -> dict[str, list[Point]]:
    """Points by anchor, by size."""
    found: dict[str, list[Point]] = {}
    for point in sorted(results.points, key=lambda point: point.size):
        found.setdefault(ident_of(point), []).append(point)
    return found


class Line:
    """A line fitted anew to points, of the model that the results name; relative errors, as sizes span magnitudes."""

    def __init__(self, results: Results, points: list[Point]) -> None:
        first = points[0]
        slope = next(
            each
            for each in results.slopes
            if (each.role, each.varies, each.measure) == (first.role, first.varies, first.measure)
        )
        sizes = np.array([point.size for point in points], dtype=float)
        values = np.array([point.value for point in points])
        self.model, self.exponent = slope.model, 1.0
        if slope.model == "flat":
            self.intercept, self.slope = float(np.median(values)), 0.0
        elif slope.model == "linear":
            scale = np.where(values == 0, float(np.mean(np.abs(values))) or 1.0, np.abs(values))
            factor, start = np.polyfit(sizes, values, 1, w=1 / scale)
            self.intercept, self.slope = float(start), float(factor)
        else:
            exponent, factor = np.polyfit(np.log(sizes), np.log(values - slope.intercept), 1)
            self.intercept, self.slope, self.exponent = (
                slope.intercept,
                float(np.exp(factor)),
                float(exponent),
            )

    def at(self, size: float) -> float:
        return float(self.intercept + self.slope * size**self.exponent)

    def reaching(self, limit: float) -> float:
        return float(((limit - self.intercept) / self.slope) ** (1 / self.exponent))


def number(text: str) -> float:
    """A number as the page writes it."""
    return float(text.replace(",", "").strip("*"))


def near(a: float, b: float) -> bool:
    """Whether two figures are the same but for how they are rounded."""
    return abs(a - b) <= ROUNDED * max(abs(a), abs(b)) + 1e-12


def value_at(results: Results, points: list[Point], size: int) -> tuple[float, str]:
    """The figure at a size and its mark, from points alone."""
    at = [point.value for point in points if point.size == size]
    if at:
        return at[0], ""
    value, sizes = Line(results, points).at(size), [point.size for point in points]
    if sizes[0] <= size <= sizes[-1]:
        return value, "(i)"
    far = size / sizes[-1] if size > sizes[-1] else size / sizes[0]
    return value, f"(e x{far:.0f})" if far >= 10 else f"(e x{far:.2g})"


def wrong_rows(page: str, results: Results) -> list[str]:
    """Rows of the roles' tables that do not come to what the points say, or name a measure that is not there."""
    known, out = measured(results), []
    with_line = {
        ident_of(Point(each.role, each.varies, 0, each.measure, "", 0.0)) for each in results.slopes
    }
    for match in ROW.finditer(page):
        ident, cells = match[1], [cell.strip() for cell in match[2].split(" | ")][1:5]
        if cells[0] == "not measured" and cells[1:] == ["-", "-", "-"]:
            if ident in known:
                out.append(f"{ident}: measured, and the page says that it is not")
            continue
        if ident not in known:
            out.append(f"{ident}: no point in the results")
            continue
        points = known[ident]
        for cell, size in zip(cells, SIZES[points[0].varies], strict=True):
            if ident not in with_line:
                at = [point.value for point in points if point.size == size]
                if (cell == "not measured") == bool(at) or (at and not near(number(cell), at[0])):
                    out.append(f"{ident} at {size}: {cell}, points say {at}")
                continue
            value, mark = value_at(results, points, size)
            shown, _, marked = cell.partition(" ")
            if cell.replace("*", "").startswith("below 0"):
                if value >= 0:
                    out.append(f"{ident} at {size}: {cell}, points say {value}")
            elif not near(number(shown), value) or marked != mark:
                out.append(f"{ident} at {size}: {cell}, points say {value} {mark}")
        if not re.search(r"one run|\d runs", match[2]):
            out.append(f"{ident}: nothing is said of its runs")
    return out


def wrong_arithmetic(page: str, results: Results) -> list[str]:
    """Lines whose arithmetic does not come to what they say, or whose measured numbers are not those of the points."""
    known, out = measured(results), []
    for ident, what, expression, said in WORKED.findall(page):
        if not near(evaluated(expression), number(said)):
            out.append(f"{ident}: {expression} is {evaluated(expression)}, not {said}")
        stated = [number(each) for each in re.findall(r"\d[\d,]*(?:\.\d+)?", expression)]
        for source, scale in LINKED.findall(what):
            points = known[source]
            size = SIZES[points[0].varies][SCALES.index(TITLES.get(scale, "third"))]
            line = Line(results, points)
            wanted = (
                (line.at(size) - line.at(0)) / size
                if scale == "each more"
                else value_at(results, points, size)[0]
            )
            if not any(near(wanted, each) for each in stated):
                out.append(
                    f"{ident}: {source} at {scale} is {wanted}, which is not in {expression}"
                )
    return out


def wrong_single_points(page: str, results: Results) -> list[str]:
    """Expressions that take the one point of a measure, and do not have its value."""
    out = []
    for expression, role, measure, varies in ALONE.findall(page):
        values = list(
            {
                point.value
                for point in results.points
                if (point.role, point.measure, point.varies) == (role, measure, varies)
            }
        )
        stated = [number(each) for each in re.findall(r"\d[\d,]*(?:\.\d+)?", expression)]
        if len(values) != 1 or not any(near(values[0], each) for each in stated):
            out.append(f"{measure}: {values}, which is not in {expression}")
    return out


def wrong_breaks(page: str, results: Results) -> list[str]:
    """What is missing, and said to break at a size at which it does not."""
    known, out = measured(results), []
    budgets = {
        match[1]: [cell.strip() for cell in match[2].split(" | ")][5]
        for match in ROW.finditer(page)
    }
    for share, machines, by in BREAKS.findall(page):
        line = BY_LINE.match(by)
        if line:
            points = known[line[1]]
            found = re.search(r"[\d,.]+", budgets[line[1]])
            assert found, f"{line[1]}: no budget in its row"
            wanted = Line(results, points).reaching(number(found[0])) / WHOLE[points[0].varies]
        else:
            wanted = evaluated(re.split(r" \((?:from|measured)", by)[0])
        if not near(number(share), wanted) or not near(number(machines), wanted * WORKERS):
            out.append(f"breaks at {share}, {machines} machines: {wanted} by {by}")
    return out


def evaluated(expression: str) -> float:
    """The value of an expression of numbers as it stands on the page."""
    plain = expression.replace(",", "")
    assert re.fullmatch(r"[\d.+*/() e-]+", plain), f"not an expression of numbers: {expression}"
    return float(eval(plain, {"__builtins__": {}}))
