"""Where decisions are made, what the module may not know, and which way imports run."""

from __future__ import annotations

import ast
import re
import tomllib
from pathlib import Path

from wingbarrow.config import load_text

ROOT = Path(__file__).parent.parent
SOURCES = sorted((ROOT / "wingbarrow").glob("*.py"))


def policy() -> list[Path]:
    """The files that hold the decision logic, as the deploy file names them."""
    named = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    return [ROOT / path for path in named]


def imported_by(source: Path) -> set[Path]:
    """The program's own files that a file imports, by whichever form of import."""
    found = set()
    for node in ast.walk(ast.parse(source.read_text())):
        if isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"{source}: relative imports are not followed here"
            names = [node.module or "", *(f"{node.module}.{alias.name}" for alias in node.names)]
        else:
            continue
        for name in names:
            path = ROOT.joinpath(*name.split("."))
            found |= {
                each for each in (path.with_suffix(".py"), path / "__init__.py") if each.exists()
            }
    return found - {ROOT / "wingbarrow" / "__init__.py"}


def test_decisions_stay_in_the_files_named_as_policy() -> None:
    reached: set[Path] = set()
    waiting = {ROOT / "wingbarrow" / "__init__.py"}
    while waiting:
        reached |= waiting
        waiting = set().union(*(imported_by(source) for source in waiting)) - reached
    types = {source for source in reached if source.stem.startswith("interface")}
    assert reached - types - {ROOT / "wingbarrow" / "__init__.py"} == set(policy())
    assert "interface.py" in policy()[0].read_text().splitlines()[0]
    for source in types:  # types and the check of their values: no decisions
        functions = [
            node.name
            for node in ast.walk(ast.parse(source.read_text()))
            if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)
        ]
        assert all(name == "__post_init__" or name.startswith("_check") for name in functions), (
            source
        )


def test_no_line_is_too_long() -> None:
    for source in SOURCES:
        assert all(len(line) <= 110 for line in source.read_text().splitlines()), source


def test_decisions_act_on_no_name_and_do_no_io() -> None:
    usual = {"random", "zlib", "collections", "dataclasses", "heapq", "itertools", "math", "typing"}
    own = {"wingbarrow"} | {f"wingbarrow.{path.stem}" for path in policy()}
    for path in policy():
        text = path.read_text()
        assert set(re.findall(r"^\s*(?:import|from) ([\w.]+)", text, re.M)) <= usual | own, path
        assert set(re.findall(r"^from wingbarrow import (.+)", text, re.M)) <= {
            "interface as api"
        }, path
        assert not re.search(r"\bprint\(|\bopen\(|\bhash\(|\bglobal\b", text), path
        assert not re.search(
            r"(name|zone|service|kind)\s*==\s*[\"']", text.replace('event.name == "sweep"', "")
        ), path


def test_the_settings_in_the_docs_load() -> None:
    blocks = [
        block
        for page in sorted((ROOT / "docs").glob("*.md"))
        for block in re.findall(r"```kdl\n(.*?)```", page.read_text(), re.S)
    ]
    assert blocks
    for block in blocks:
        assert load_text(block).name


def test_imports_run_downwards() -> None:
    order = [
        "cli",
        "lab",
        "fronts",
        "relay",
        "core",
        "peers",
        "config",
        "store",
        "decide",
        "http",
        "kube",
        "transport",
    ]
    for source in (ROOT / "wingbarrow").rglob("*.py"):
        parts = source.relative_to(ROOT / "wingbarrow").parts
        if len(parts) < 2:
            continue
        for found in re.findall(r"^(?:from|import) wingbarrow\.(\w+)", source.read_text(), re.M):
            if found in order:
                assert order.index(found) >= order.index(parts[0]), f"{source} imports {found}"


def test_what_decides_does_no_io_and_asks_no_clock() -> None:
    for source in (ROOT / "wingbarrow" / "decide").rglob("*.py"):
        found = set(re.findall(r"^\s*(?:from|import) (\w+(?:\.\w+)?)", source.read_text(), re.M))
        assert not {name.partition(".")[0] for name in found} & {
            "socket",
            "select",
            "os",
            "io",
            "sys",
            "time",
            "threading",
            "pathlib",
            "subprocess",
            "signal",
            "msgspec",
        }, source
        assert {name for name in found if name.startswith("wingbarrow")} <= {
            "wingbarrow",
            "wingbarrow.decide",
            "wingbarrow.interface",
        }, source
        assert not re.search(r"\bprint\(|\bopen\(|^\s*global\b", source.read_text(), re.M), source


def test_no_two_files_import_each_other() -> None:
    found: dict[str, set[str]] = {}
    for source in (ROOT / "wingbarrow").rglob("*.py"):
        name = ".".join(source.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__")
        text = source.read_text()
        found[name] = {
            f"{package}.{part.strip()}" if f"{package}.{part.strip()}" in found else package
            for package, parts in re.findall(
                r"^\s*from (wingbarrow[\w.]*) import \(?([^)\n]*)", text, re.M
            )
            for part in (parts.split(",") or [""])
        }
    circles = {
        tuple(sorted((one, other)))
        for one, used in found.items()
        for other in used
        if one != other and one in found.get(other, ())
    }
    # The hub, its scopes and its domains know each other, by type alone; a package and its own parts are no circle.
    assert not {
        pair
        for pair in circles
        if not pair[0].startswith("wingbarrow.transport.") and pair[0] != "wingbarrow"
    }


def test_the_readme_example_runs() -> None:
    blocks = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert blocks
    for block in blocks:
        exec(compile(block, "README.md", "exec"), {})
