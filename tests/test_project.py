"""Limits on the module's size, and what it may not know."""

from __future__ import annotations

import re
from pathlib import Path

from wingbarrow.config import load_text

ROOT = Path(__file__).parent.parent
SOURCES = sorted((ROOT / "wingbarrow").glob("*.py"))


def test_the_module_stays_readable() -> None:
    lines = (ROOT / "wingbarrow" / "logic.py").read_text().splitlines()
    assert sum(bool(line.strip()) for line in lines) <= 550
    assert "interface.py" in lines[0]


def test_no_line_is_too_long() -> None:
    for source in SOURCES:
        assert all(len(line) <= 110 for line in source.read_text().splitlines()), source


def test_decisions_act_on_no_name_and_do_no_io() -> None:
    text = (ROOT / "wingbarrow" / "logic.py").read_text()
    assert set(re.findall(r"^(?:import|from) (\w+)", text, re.M)) == {
        "random",
        "zlib",
        "collections",
        "dataclasses",
        "heapq",
        "itertools",
        "math",
        "typing",
        "wingbarrow",
    }
    assert not re.search(r"\bprint\(|\bopen\(|\bhash\(|\bglobal\b", text)
    assert not re.search(r"(name|zone|service|kind)\s*==\s*[\"']", text.replace('event.name == "sweep"', ""))


def test_the_settings_in_the_docs_load() -> None:
    blocks = [block for page in sorted((ROOT / "docs").glob("*.md"))
              for block in re.findall(r"```kdl\n(.*?)```", page.read_text(), re.S)]
    assert blocks
    for block in blocks:
        assert load_text(block).name


def test_imports_run_downwards() -> None:
    order = ["cli", "lab", "fronts", "relay", "core", "peers", "config", "store", "decide", "http", "kube", "transport"]
    for source in (ROOT / "wingbarrow").rglob("*.py"):
        parts = source.relative_to(ROOT / "wingbarrow").parts
        if len(parts) < 2:
            continue
        for found in re.findall(r"^(?:from|import) wingbarrow\.(\w+)", source.read_text(), re.M):
            if found in order:
                assert order.index(found) >= order.index(parts[0]), f"{source} imports {found}"


def test_the_readme_example_runs() -> None:
    blocks = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    assert blocks
    for block in blocks:
        exec(compile(block, "README.md", "exec"), {})
