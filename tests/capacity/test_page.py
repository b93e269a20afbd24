"""The capacity page: it is what its results make, its figures follow from the points, faults in it are found."""

from __future__ import annotations

import re
from collections.abc import Callable
from pathlib import Path

import msgspec
import pytest

from benchmarks.capacity import page, target
from benchmarks.capacity.bounds import bounds
from benchmarks.capacity.days import GROUPS
from benchmarks.capacity.results import Point, Results
from benchmarks.capacity.roles import ROLES
from benchmarks.capacity.rows import Role
from tests.capacity.recompute import (
    SIZES,
    wrong_arithmetic,
    wrong_breaks,
    wrong_rows,
    wrong_single_points,
)

ROOT = Path(__file__).parents[2]
PAGE = ROOT / "docs" / "CAPACITY.md"
MADE_UP = ROOT / "tests" / "capacity" / "data" / "made-up.json"


def named_results() -> str:
    """The results file that the page names."""
    found = re.findall(r"<!-- results: (\S+) -->", PAGE.read_text())
    assert len(found) == 1, "the page names one results file"
    return str(found[0])


def committed() -> Results:
    name = named_results()
    return page.read_results(name if name == page.NO_RESULTS else str(ROOT / name))


@pytest.fixture(scope="module")
def made_up() -> Results:
    return page.read_results(str(MADE_UP))


@pytest.fixture(scope="module")
def made_up_page(made_up: Results) -> str:
    return page.written_anew(PAGE.read_text(), made_up, "made-up.json")


def wrong(text: str, results: Results) -> list[str]:
    """All that is wrong with a page, by the page's own look and by figures worked out apart from it."""
    return [
        *page.faults(text, results),
        *wrong_rows(text, results),
        *wrong_arithmetic(text, results),
        *wrong_breaks(text, results),
        *wrong_single_points(text, results),
    ]


# -- the page as it is committed


def test_the_page_goes_by_the_newest_results_on_record() -> None:
    there = sorted(path.name for path in (ROOT / "benchmarks" / "results").glob("*-capacity.json"))
    assert named_results() == (f"benchmarks/results/{there[-1]}" if there else page.NO_RESULTS)


def test_the_page_is_what_its_results_make() -> None:
    assert PAGE.read_text() == page.written_anew(PAGE.read_text(), committed(), named_results())


def test_nothing_is_wrong_with_the_page() -> None:
    assert wrong(PAGE.read_text(), committed()) == []


def test_the_page_is_short_and_its_paths_are_there() -> None:
    text = PAGE.read_text()
    assert len(text.splitlines()) <= page.LINES_MOST
    for path in re.findall(r"`((?:wingbarrow|docs|tests|benchmarks)/[\w/.]+)`", text):
        assert (ROOT / path).exists(), path


def test_without_results_the_page_has_no_measured_figure() -> None:
    text = page.written_anew(PAGE.read_text(), page.NOTHING, page.NO_RESULTS)
    rows = re.findall(r'^\| <a id="m-[\w-]+"></a>.*$', text, re.M)
    assert rows
    assert all("| not measured | - | - | - |" in row for row in rows)
    assert wrong(text, page.NOTHING) == []


def test_each_role_has_mechanisms_that_are_there_and_says_what_is_missing() -> None:
    wanted = {
        "placer",
        "member",
        "voter",
        "leader",
        "replica-holder",
        "list-client",
        "agent",
        "region-link",
        "operator",
    }
    assert {role.ident for role in ROLES} == wanted
    for role in ROLES:
        assert role.mechanisms and role.missing and role.rows and role.states, role.title
        for each in role.mechanisms:
            assert (ROOT / each.path).is_file(), each.path


# -- arithmetic from the target


def test_the_target_is_worked_out() -> None:
    figures = target.figures()
    by_hand = {
        "placers": 520,
        "starts_placer": 17.692,
        "tasks_machine": 23.846,
        "tasks_placer": 596.15,
        "peak_least": 6.46875,
        "change_s": 6.1714,
        "failed_hour": 6.6667,
        "replaced_hour": 162.5,
        "zone": 1857.14,
        "region_machines": 4333.3,
    }
    for name, value in by_hand.items():
        assert figures[name] == pytest.approx(value, rel=1e-4), name


def test_columns_are_shares_of_the_target() -> None:
    for varies, sizes in SIZES.items():
        assert tuple(target.size_at(varies, scale) for scale in target.SCALES) == sizes
    with pytest.raises(ValueError, match="colours"):
        target.size_at("colours", target.SCALES[0])


@pytest.mark.parametrize("text", ["placers + 'x'", "open('x')", "placers.real", "-placers", "[1]"])
def test_an_expression_is_arithmetic_alone(text: str) -> None:
    with pytest.raises(ValueError):
        target.evaluate(text, {"placers": 1.0})


def test_an_expression_of_what_is_not_known_is_refused() -> None:
    with pytest.raises(KeyError, match="unheard_of"):
        target.evaluate("unheard_of / 2", {})


def test_names_are_those_of_one_figure_each() -> None:
    idents = [each.ident for each in (*target.TARGET, *target.ASSUMED)] + [
        each.ident for each in target.WORKED
    ]
    idents += [each.ident for each in bounds()] + [
        each.ident for group in GROUPS.values() for each in group
    ]
    assert len(idents) == len(set(idents))


# -- figures from results


def test_figures_follow_from_the_points(made_up: Results, made_up_page: str) -> None:
    assert wrong(made_up_page, made_up) == []
    assert made_up_page.count("(e x") > 10
    assert "3 runs, " in made_up_page
    assert "one run" in made_up_page
    assert "**14,649** (e x4.3)" in made_up_page, "descriptors over their budget"
    assert "**below 0** (e x4.3)" in made_up_page, "a line that falls below 0 gives no figure"
    assert "| not measured, 149 | 3,399, 399 | not measured, 1,649 |" in made_up_page, (
        "subsets, before and after"
    )


def test_a_marked_value_is_written_anew(made_up: Results) -> None:
    text = (
        PAGE.read_text()
        + '\nMemory comes to [9 MB](#m-placer-machines-resident-memory "all") then.\n'
    )
    new = page.written_anew(text, made_up, "made-up.json")
    assert 'comes to [253 MB](#m-placer-machines-resident-memory "all") then' in new
    assert "comes to [not measured](#m-" in page.written_anew(text, page.NOTHING, page.NO_RESULTS)


def test_what_is_missing_stands_by_the_size_at_which_it_breaks(
    made_up: Results, made_up_page: str
) -> None:
    text = made_up_page.partition("generated: role-leader")[2].partition("<!-- end -->")[0]
    shares = [
        float(share) for share in re.findall(r"(?:breaks at|up to) ([\d.]+) of the target", text)
    ]
    assert len(shares) >= 4
    assert shares == sorted(shares)
    assert all("**Missing**" in line for line in text.splitlines() if "breaks at" in line)
    assert all("Not missing yet" in line for line in text.splitlines() if "up to" in line)
    assert text.index("up to") < text.index("not measured at which size"), (
        "what is not known stands last"
    )


def without(results: Results, measure: str) -> Results:
    """The same results without a measure's slope and points."""
    return msgspec.structs.replace(
        results,
        points=[each for each in results.points if each.measure != measure],
        slopes=[each for each in results.slopes if each.measure != measure],
    )


def test_results_that_lack_a_slope_are_told(made_up: Results, made_up_page: str) -> None:
    less = without(made_up, "bytes received, agreement")
    assert any(
        "m-member-placers-bytes-received-agreement: no point" in each
        for each in wrong_rows(made_up_page, less)
    )
    new = page.written_anew(made_up_page, less, "made-up.json")
    assert wrong(new, less) == []
    assert re.search(
        r'"member_received"></a>[^|]*\| `[^|]*\| not measured: no figure of member: bytes received',
        new,
    )
    assert re.search(r'"member_bytes"></a>[^|]*\| `[^|]*\| not measured: rests on what is not', new)


def test_points_of_too_few_sizes_give_their_own_figures_and_no_line(made_up: Results) -> None:
    key = ("placer", "machines", "descriptors")
    less = msgspec.structs.replace(
        made_up,
        slopes=[each for each in made_up.slopes if (each.role, each.varies, each.measure) != key],
    )
    new = page.written_anew(PAGE.read_text(), less, "made-up.json")
    assert wrong(new, less) == []
    assert re.search(
        r'machines-descriptors"></a>[^|]*\| not measured \| \*\*1,486\*\* \| not measured \|', new
    )


# -- planted faults


def planted(text: str, old: str, new: str) -> str:
    assert text.count(old) >= 1, old
    return text.replace(old, new, 1)


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ("| 253 (e x4.3) |", "| 273 (e x4.3) |"),  # a figure beyond the measured sizes
        ("| 253 (e x4.3) |", "| 253 (i) |"),  # one that claims to rest on more than it does
        ("| 253 (e x4.3) |", "| 253 (e x1.3) |"),
        ("| 70.3 |", "| 71.3 |"),  # a measured one
        ("| all | 13,000 | 520 |", "| all | 12,000 | 520 |"),  # a column's size
        ("13,000 * 16 / 400 | 520 placers", "13,000 * 16 / 400 | 540 placers"),
        ("640 * 0.25 | 160 ms", "640 * 0.35 | 224 ms"),  # a measured number within arithmetic
        (
            "0.492 of the target (6,400 machines, 256 / 520)",
            "0.592 of the target (7,696 machines, 256 / 520)",
        ),
        ("0.0684 of the target (889 machines", "0.168 of the target (2,189 machines"),  # by a line
        ("9 / 370 (measured", "19 / 370 (measured"),  # a point that has no line
        ("[110 s](#heal_s)", "[90 s](#heal_s)"),
        ("one run;", "often;"),
    ],
)
def test_a_changed_figure_is_found(made_up: Results, made_up_page: str, old: str, new: str) -> None:
    text = planted(made_up_page, old, new)
    assert text != page.written_anew(text, made_up, "made-up.json")
    if not old.startswith("| all |"):  # held by the comparison above
        assert wrong(text, made_up)


@pytest.mark.parametrize(
    "line",
    [
        "A placer takes 12.3 MB.",
        "It takes `12.3` MB.",
        "It takes `12.3 MB`.",
        "It takes [12.3 MB](docs/x.md).",
        "### Some 300 placers",
        'It takes [12 MB](#m-no-such-measure "all").',
        "It takes [12 MB](#no_such_figure).",
    ],
)
def test_a_figure_without_a_source_is_found(made_up: Results, made_up_page: str, line: str) -> None:
    found = page.faults(made_up_page + "\n" + line + "\n", made_up)
    assert len(found) == 1
    assert "without a source" in found[0] or "nothing on the page" in found[0]


@pytest.mark.parametrize(
    "line",
    [
        "The door answers `429`.",
        "See `docs/x2.md`.",
        "One of two.",
        "[520 placers](#placers) are there.",
    ],
)
def test_what_is_no_figure_or_has_its_source_is_let_stand(
    made_up: Results, made_up_page: str, line: str
) -> None:
    assert page.faults(made_up_page + "\n" + line + "\n", made_up) == []


@pytest.mark.parametrize(
    ("change", "said"),
    [
        (lambda role: with_parts(role, mechanisms=()), "a role without a mechanism"),
        (lambda role: with_parts(role, missing=()), "a role without what is missing"),
    ],
)
def test_a_role_without_a_part_is_found(
    made_up: Results,
    made_up_page: str,
    monkeypatch: pytest.MonkeyPatch,
    change: Callable[[Role], Role],
    said: str,
) -> None:
    monkeypatch.setattr(page, "ROLES", (change(ROLES[0]), *ROLES[1:]))
    assert [each for each in page.faults(made_up_page, made_up) if said in each]


def with_parts(role: Role, **parts: object) -> Role:
    """The role with parts replaced."""
    values = {name: getattr(role, name) for name in Role.__slots__}
    return Role(**{**values, **parts})


def test_a_measured_role_that_the_page_lacks_is_found(made_up: Results, made_up_page: str) -> None:
    other = Point("usher", "machines", 1, "steps", "steps", 1.0)
    more = msgspec.structs.replace(made_up, points=[*made_up.points, other])
    assert any("usher" in each for each in page.faults(made_up_page, more))


def test_two_lines_of_one_measure_are_refused(made_up: Results) -> None:
    double = msgspec.structs.replace(made_up, slopes=[*made_up.slopes, made_up.slopes[0]])
    with pytest.raises(ValueError, match="2 slopes"):
        page.written_anew(PAGE.read_text(), double, "made-up.json")


def test_a_page_without_a_block_or_with_an_unknown_one_is_refused(
    made_up: Results, made_up_page: str
) -> None:
    for old, new in (
        ("generated: role-voter", "generated: role-usher"),
        ("<!-- generated: cut -->\n", ""),
    ):
        with pytest.raises(page.BadPage):
            page.written_anew(planted(made_up_page, old, new), made_up, "made-up.json")


def test_a_long_page_is_found(made_up: Results, made_up_page: str) -> None:
    assert any(
        "are the most" in each
        for each in page.faults(made_up_page + "\n" * page.LINES_MOST, made_up)
    )


# -- the command


def test_the_command_writes_the_page_and_tells_faults(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    copy = tmp_path / "CAPACITY.md"
    copy.write_text(PAGE.read_text())
    assert page.main([str(MADE_UP), str(copy)]) == 0
    assert "<!-- results: tests/capacity/data/made-up.json -->" in copy.read_text()
    once = copy.read_text()
    assert page.main([str(MADE_UP), str(copy)]) == 0
    assert copy.read_text() == once
    copy.write_text(once + "\nIt takes 12 MB.\n")
    assert page.main([str(MADE_UP), str(copy)]) == 1
    assert "without a source: It takes 12 MB." in capsys.readouterr().err


def test_the_command_refuses_bad_arguments(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "bad.json").write_text('{"machine": 1}')
    (tmp_path / "page.md").write_text("no blocks\n")
    for arguments in (
        [],
        ["none"],
        [str(tmp_path / "bad.json"), str(PAGE)],
        [str(tmp_path / "no.json"), str(PAGE)],
        ["none", str(tmp_path / "page.md")],
        ["none", str(tmp_path / "no.md")],
    ):
        assert page.main(arguments) == 2
    assert "blocks lacking" in capsys.readouterr().err
    assert (tmp_path / "page.md").read_text() == "no blocks\n"
