"""Write the measured and worked-out figures of docs/CAPACITY.md anew from a results file.

    python -m benchmarks.capacity.page benchmarks/results/2026-12-02-capacity.json docs/CAPACITY.md

Rewrites what stands between `<!-- generated: NAME -->` and `<!-- end -->`, marked values in the prose, and the line
that names the results file; all else stays. A marked value is `[520 placers](#placers)`: the anchor names a figure that
is worked out, or, with a scale as its title, a measure: `[12.3 MB](#m-placer-machines-resident-memory "all")`. `none`
in place of a results file writes the page without any measurement. Exit 1 where the page has a fault, which is told;
2 for bad arguments.
"""

from __future__ import annotations

import re
import sys
from collections.abc import Sequence
from pathlib import Path

import msgspec

from benchmarks.capacity import target
from benchmarks.capacity.bounds import bounds
from benchmarks.capacity.days import GROUPS
from benchmarks.capacity.estimate import estimate, key_of, shown
from benchmarks.capacity.results import Results
from benchmarks.capacity.roles import ROLES
from benchmarks.capacity.tables import NOT_MEASURED, blocks, derived_line, known

ROOT = Path(__file__).resolve().parents[2]
LINES_MOST = 400
NO_RESULTS = "none"
NOTHING = Results(machine="", taken="", points=[], slopes=[])

_BLOCK = re.compile(r"<!-- generated: (\S+) -->\n(.*?)<!-- end -->", re.S)
_MARKED = re.compile(r"\[([^\]]*)\]\(#([\w-]+)(?: \"(\w+)\")?\)")
_NAMED = re.compile(r"<!-- results: (\S+) -->")
_CODE = re.compile(r"`[^`]*`")
_CODE_FIGURE = re.compile(
    r"(?<![\w./-])\d[\d,.]*(?![\w./-])"
)  # a number by itself within code is a figure too
_ANSWERS = frozenset({"410", "429", "503"})  # statuses of HTTP


class BadPage(ValueError):
    """A page that cannot be written anew; says why."""


def read_results(path: str) -> Results:
    """The results of a file, or none at all; BadPage where it cannot be read as such."""
    if path == NO_RESULTS:
        return NOTHING
    try:
        return msgspec.json.decode(Path(path).read_bytes(), type=Results)
    except (OSError, msgspec.MsgspecError) as error:
        raise BadPage(f"{path}: {error}") from None


def written_anew(text: str, results: Results, named: str) -> str:
    """The page with all that is generated made from these results; BadPage names a block that is unknown or lacking."""
    made = blocks(results)
    found = [match[1] for match in _BLOCK.finditer(text)]
    if sorted(found) != sorted(made):
        lacking, unknown = sorted(set(made) - set(found)), sorted(set(found) - set(made))
        raise BadPage(f"blocks lacking: {lacking}; unknown: {unknown}; or one stands there twice")
    out, last = [], 0
    for match in _BLOCK.finditer(text):
        out.append(_prose_anew(text[last : match.start()], results))
        out.append("\n".join([f"<!-- generated: {match[1]} -->", *made[match[1]], "<!-- end -->"]))
        last = match.end()
    out.append(_prose_anew(text[last:], results))
    return _NAMED.sub(lambda _: f"<!-- results: {named} -->", "".join(out))


def marked_value(results: Results, ident: str, scale: str) -> str | None:
    """What a marked value says now; None where nothing on the page has that name."""
    if not scale:
        figures, units = _worked(results)
        if ident not in units:
            return None
        return f"{shown(figures[ident])} {units[ident]}" if ident in figures else NOT_MEASURED
    scales = {each.ident: each for each in target.SCALES}
    keys = {key.ident: key for role in ROLES for key in (row.key for row in role.rows)}
    keys |= {key_of(each).ident: key_of(each) for each in results.slopes}
    if ident not in keys or scale not in scales:
        return None
    key = keys[ident]
    value = estimate(results, key, target.size_at(key.varies, scales[scale]))
    slope = next((each for each in results.slopes if key_of(each) == key), None)
    return NOT_MEASURED if value is None or slope is None else f"{shown(value.value)} {slope.unit}"


def faults(text: str, results: Results) -> list[str]:
    """What is wrong with a page: figures without a source, values that name nothing, roles without a part, length."""
    out = []
    prose = _BLOCK.sub("", text)
    for match in _MARKED.finditer(prose):
        wanted = marked_value(results, match[2], match[3] or "")
        if wanted is None:
            out.append(f"{match[0]}: nothing on the page is called so")
        elif wanted != match[1]:
            out.append(f"{match[0]}: comes to {wanted}")
    for number, line in enumerate(_masked(text).splitlines(), 1):
        bare = [
            each
            for each in _CODE_FIGURE.findall(" ".join(_CODE.findall(line)))
            if each not in _ANSWERS
        ]
        if bare or re.search(r"\d", _CODE.sub("", line)):
            out.append(f"line {number}: a figure without a source: {line.strip()[:80]}")
    for role in ROLES:
        if not role.mechanisms or not role.missing:
            out.append(
                f"{role.title}: a role without {'a mechanism' if not role.mechanisms else 'what is missing'}"
            )
    named = {name for role in ROLES for name in role.names}
    measured = {point.role for point in results.points} | {slope.role for slope in results.slopes}
    out += [f"{each}: measured, and no role of the page" for each in sorted(measured - named)]
    if len(text.splitlines()) > LINES_MOST:
        out.append(f"{len(text.splitlines())} lines; {LINES_MOST} are the most")
    return out


def main(argv: Sequence[str] | None = None) -> int:
    """Exit status, as the module says."""
    asked = list(sys.argv[1:] if argv is None else argv)
    if len(asked) != 2:
        print(
            "usage: python -m benchmarks.capacity.page RESULTS.json|none docs/CAPACITY.md",
            file=sys.stderr,
        )
        return 2
    path = Path(asked[1])
    try:
        results = read_results(asked[0])
        text = written_anew(path.read_text(), results, _named(asked[0]))
    except (BadPage, OSError) as error:
        print(f"capacity page: {error}", file=sys.stderr)
        return 2
    path.write_text(text)
    wrong = faults(text, results)
    for each in wrong:
        print(each, file=sys.stderr)
    lines, lacking = len(text.splitlines()), text.count(NOT_MEASURED)
    print(f"{path}: {lines} lines, {lacking} figures not measured, {len(wrong)} faults")
    return 1 if wrong else 0


def _named(path: str) -> str:
    full = Path(path).resolve()
    return str(full.relative_to(ROOT)) if path != NO_RESULTS and full.is_relative_to(ROOT) else path


def _prose_anew(text: str, results: Results) -> str:
    def value(match: re.Match[str]) -> str:
        wanted = marked_value(results, match[2], match[3] or "")
        if wanted is None:
            raise BadPage(f"{match[0]}: nothing on the page is called so")
        return match[0].replace(f"[{match[1]}]", f"[{wanted}]", 1)

    return _MARKED.sub(value, text)


def _masked(text: str) -> str:
    """The page without what has a source: blocks, marked values, links, the line of results; line numbers stay."""
    text = _BLOCK.sub(lambda match: "\n" * match[0].count("\n"), text)
    text = _NAMED.sub("", _MARKED.sub("", text))
    return re.sub(r"\]\([^)]*\)", "]", text)


def _worked(results: Results) -> tuple[dict[str, float], dict[str, str]]:
    state = known(results)
    figures = dict(state.figures)
    units = {each.ident: each.unit for each in (*target.TARGET, *target.ASSUMED)}
    units |= {each.ident: each.unit for each in target.WORKED} | {
        each.ident: each.unit for each in bounds()
    }
    for group in GROUPS.values():
        for each in group:
            derived_line(state, each, figures)
            units[each.ident] = each.unit
    return figures, units


if __name__ == "__main__":
    sys.exit(main())
