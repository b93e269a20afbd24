"""The pages name what is there: code by file and name, other pages by path; faults planted in a page are found."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
GUIDES = [ROOT / "docs" / "architecture.md", ROOT / "README.md"]
NAMING = [
    *GUIDES,
    ROOT / "docs" / "ROADMAP.md",
    ROOT / "docs" / "on-call.md",
]  # pages that name code alike
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]

CODE = re.compile(r"`([^`\n]+)`")
FILE = re.compile(r"[\w./*-]+\.py(?::[\w.]+)?|(?:wingbarrow|tests|benchmarks|deploy)/[\w./*-]*")
LINK = re.compile(r"\[[^\]\n]*\]\(([^)\s]+)(?: \"[^\"]*\")?\)")
PAGE = re.compile(r"(?<![\w/.-])docs/[\w./-]*\.md")

# The capacity page is generated; its table of what is worked out links a measure that no table of a role shows. To be
# mended in `benchmarks.capacity`; this entry goes then, as the test compares for equality.
KNOWN = {
    "docs/CAPACITY.md": [
        "#m-placer-machines-processor-until-all-machines-are-seen: no such place in the page"
    ]
}


@cache
def names_in(file: Path) -> frozenset[str]:
    """All names that a file defines: NAME, and CLASS.NAME for methods, fields and attributes set on `self`."""
    found: set[str] = set()
    for node in ast.parse(file.read_text()).body:
        found |= set(_bound(node))
        if isinstance(node, ast.ClassDef):
            for part in node.body:
                found |= {f"{node.name}.{name}" for name in _bound(part)}
                if isinstance(part, ast.FunctionDef) and part.name == "__init__":
                    found |= {f"{node.name}.{name}" for name in _set_on_self(part)}
    return frozenset(found)


def _bound(node: ast.stmt) -> Iterator[str]:
    """Names that a statement defines."""
    if isinstance(node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
        yield node.name
        return
    targets: list[ast.expr] = []
    if isinstance(node, ast.Assign):
        targets = node.targets
    elif isinstance(node, ast.AnnAssign | ast.AugAssign):
        targets = [node.target]
    for target in targets:
        for each in ast.walk(target):
            if isinstance(each, ast.Name):
                yield each.id


def _set_on_self(function: ast.FunctionDef) -> Iterator[str]:
    for node in ast.walk(function):
        if (
            isinstance(node, ast.Attribute)
            and isinstance(node.ctx, ast.Store)
            and isinstance(node.value, ast.Name)
            and node.value.id == "self"
        ):
            yield node.attr


def code_faults(text: str) -> list[str]:
    """What a page says of code that is not so: files and directories by path from the root, names as `FILE:NAME`."""
    faults = []
    for span in CODE.findall(text):
        for word in span.split():
            if not FILE.fullmatch(word.rstrip(",;")):
                continue
            path, _, name = word.rstrip(",;").partition(":")
            if "*" in path:
                if not list(ROOT.glob(path)):
                    faults.append(f"{path}: no such files")
            elif not (ROOT / path).exists():
                faults.append(f"{path}: no such file")
            elif name and name not in names_in(ROOT / path):
                faults.append(f"{path}: no {name}")
    return faults


def link_faults(page: Path, text: str) -> list[str]:
    """Relative links and pages named by path that lead nowhere."""
    faults = [
        f"{named}: no such page" for named in PAGE.findall(text) if not (ROOT / named).exists()
    ]
    for link in LINK.findall(text):
        path, _, anchor = link.partition("#")
        if re.match(r"[a-z]+:", link):
            continue  # another site's
        target = page.parent / path
        if not target.exists():
            faults.append(f"{link}: leads nowhere")
        elif anchor:
            there = target.read_text() if path else text
            if anchor not in _anchors(there):
                faults.append(f"{link}: no such place in the page")
    return faults


def _anchors(text: str) -> set[str]:
    """Places in a page: `<a id="...">`, and headings as they are shown on the usual sites."""
    headings = re.findall(r"^#+ (.+)$", text, re.M)
    slugs = {re.sub(r"[^\w\- ]", "", each.lower()).strip().replace(" ", "-") for each in headings}
    return slugs | set(re.findall(r'<a id="([^"]+)"', text))


@pytest.mark.parametrize("page", NAMING, ids=lambda page: page.name)
def test_code_that_pages_name_is_there(page: Path) -> None:
    assert code_faults(page.read_text()) == []


@pytest.mark.parametrize("page", GUIDES, ids=lambda page: page.name)
def test_the_guides_name_code(page: Path) -> None:
    assert len([each for each in CODE.findall(page.read_text()) if FILE.fullmatch(each)]) >= 10


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_links_and_pages_that_pages_name_are_there(page: Path) -> None:
    known = KNOWN.get(page.relative_to(ROOT).as_posix(), [])
    assert link_faults(page, page.read_text()) == known


def test_the_guides_name_all_packages() -> None:
    packages = {
        path.parent.relative_to(ROOT).as_posix()
        for path in (ROOT / "wingbarrow").rglob("__init__.py")
        if path.parent != ROOT / "wingbarrow"
    }
    assert "wingbarrow/decide/consensus" in packages
    architecture, readme = (page.read_text() for page in GUIDES)
    parts = {each for each in packages if each.count("/") > 1 and "/decide/" not in each}
    assert [each for each in sorted(packages - parts) if f"`{each}`" not in architecture] == []
    top = [each for each in sorted(packages) if each.count("/") == 1]
    assert [each for each in top if f"`{each}/`" not in readme] == []


def test_the_new_names_that_the_changelog_gives_are_there() -> None:
    _, _, section = (ROOT / "CHANGELOG.md").read_text().partition("### Names\n")
    section = section.partition("\n## ")[0]
    assert section.count("| now |") == 2, "a table of modules, one of types"
    rows = re.findall(r"^\| `([\w.]+)` \| `([\w.]+)` \|$", section, re.M)
    assert len(rows) > 100
    assert [old for old, new in rows if not _is_there(new)] == []
    assert [old for old, _ in rows if _is_there(old) and old not in dict(rows).values()] == []


def _is_there(name: str) -> bool:
    """Whether a module, or something in one, has this name, its package left out."""
    module, _, last = name.rpartition(".")
    as_module, holder = (
        ROOT / "wingbarrow" / f"{each.replace('.', '/')}.py" for each in (name, module)
    )
    return as_module.exists() or (holder.exists() and last in names_in(holder))


def test_the_readme_names_all_pages() -> None:
    text = (ROOT / "README.md").read_text()
    pages = [path.name for path in sorted((ROOT / "docs").glob("*.md"))]
    assert [name for name in pages if f"docs/{name}" not in text] == []


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ("see `wingbarrow/core/hosts.py`", "wingbarrow/core/hosts.py: no such file"),
        ("see `core/host.py`", "core/host.py: no such file"),
        ("see `wingbarrow/cores/`", "wingbarrow/cores/: no such file"),
        ("see `wingbarrow/interfaces_*.py`", "wingbarrow/interfaces_*.py: no such files"),
        ("see `wingbarrow/core/host.py:Hosts`", "wingbarrow/core/host.py: no Hosts"),
        ("see `wingbarrow/core/host.py:Host.feeds`", "wingbarrow/core/host.py: no Host.feeds"),
        ("see `wingbarrow/core/host.py:feed`", "wingbarrow/core/host.py: no feed"),
        ("run `python tests/test_doc.py -v`", "tests/test_doc.py: no such file"),
    ],
)
def test_a_wrong_name_of_code_is_found(text: str, fault: str) -> None:
    assert code_faults(text) == [fault]


def test_a_right_name_of_code_is_no_fault() -> None:
    right = (
        "`wingbarrow/core/host.py`, `wingbarrow/core/`, `wingbarrow/core/host.py:Host`, `wingbarrow/interface_*.py`, "
        "`wingbarrow/core/host.py:Host.feed`, `wingbarrow/core/host.py:Host.failed`, "
        "`wingbarrow/core/job_store.py:State.PENDING`, `wingbarrow/core/job_store.py:MAX_TOMBSTONES`"
    )
    assert code_faults(right) == []


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ("see `docs/architectures.md`", "docs/architectures.md: no such page"),
        ("see [it](architectures.md)", "architectures.md: leads nowhere"),
        ("see [it](architecture.md#nowhere)", "architecture.md#nowhere: no such place in the page"),
        ("# Here\nsee [it](#there)", "#there: no such place in the page"),
    ],
)
def test_a_wrong_link_is_found(text: str, fault: str) -> None:
    assert link_faults(ROOT / "docs" / "page.md", text) == [fault]


def test_a_right_link_is_no_fault() -> None:
    text = (
        "# Here, too\n[a](#here-too) [b](architecture.md) [c](https://example.org/x.md) `docs/rest.md` "
        '[d](#x "all") <a id="x">'
    )
    assert link_faults(ROOT / "docs" / "architecture.md", text) == []
