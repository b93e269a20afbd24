"""Bounds on the size of files and functions, counted so that formatting cannot move them.

A logical line is a statement's line as the tokenizer sees it, however many physical lines it takes;
a statement is a node of the syntax tree. The bounds are the largest figures of the tree when the
test was written: they may be lowered, never raised.
"""

from __future__ import annotations

import ast
import tokenize
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent


@dataclass(frozen=True)
class Bounds:
    logical_lines: int  # of a file
    statements: int  # of a function, those of functions inside it too
    arguments: int  # of a function, without self or cls


BOUNDS = {
    "wingbarrow": Bounds(logical_lines=325, statements=56, arguments=13),
    "tests": Bounds(logical_lines=320, statements=52, arguments=8),
    "benchmarks": Bounds(logical_lines=289, statements=72, arguments=6),
}


def sources(tree: str) -> list[Path]:
    return sorted((ROOT / tree).rglob("*.py"))


def logical_lines(source: Path) -> int:
    with source.open("rb") as file:
        return sum(token.type == tokenize.NEWLINE for token in tokenize.tokenize(file.readline))


def functions(source: Path) -> Iterator[ast.FunctionDef | ast.AsyncFunctionDef]:
    for node in ast.walk(ast.parse(source.read_text())):
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            yield node


def statements(function: ast.AST) -> int:
    return sum(isinstance(node, ast.stmt) for node in ast.walk(function)) - 1


def arguments(function: ast.FunctionDef | ast.AsyncFunctionDef) -> int:
    named = function.args.posonlyargs + function.args.args
    bound = bool(named) and named[0].arg in ("self", "cls")
    return len(named) + len(function.args.kwonlyargs) - bound


@pytest.mark.parametrize("tree", BOUNDS)
def test_no_file_has_too_many_logical_lines(tree: str) -> None:
    sizes = {str(source.relative_to(ROOT)): logical_lines(source) for source in sources(tree)}
    assert sizes
    assert {name: size for name, size in sizes.items() if size > BOUNDS[tree].logical_lines} == {}


@pytest.mark.parametrize("tree", BOUNDS)
def test_no_function_has_too_many_statements(tree: str) -> None:
    sizes = {
        f"{source.relative_to(ROOT)}:{function.name}": statements(function)
        for source in sources(tree)
        for function in functions(source)
    }
    assert {name: size for name, size in sizes.items() if size > BOUNDS[tree].statements} == {}


@pytest.mark.parametrize("tree", BOUNDS)
def test_no_function_takes_too_many_arguments(tree: str) -> None:
    counts = {
        f"{source.relative_to(ROOT)}:{function.name}": arguments(function)
        for source in sources(tree)
        for function in functions(source)
    }
    assert {name: count for name, count in counts.items() if count > BOUNDS[tree].arguments} == {}


def test_formatting_does_not_move_the_counts(tmp_path: Path) -> None:
    packed, spread = tmp_path / "packed.py", tmp_path / "spread.py"
    packed.write_text("def f(a, b):\n    return [a, b]\n")
    spread.write_text("def f(\n    a,\n    b,\n):\n    return [\n        a,\n        b,\n    ]\n")
    assert logical_lines(packed) == logical_lines(spread) == 2
    both = [next(functions(source)) for source in (packed, spread)]
    assert [statements(each) for each in both] == [1, 1]
    assert [arguments(each) for each in both] == [2, 2]


def test_two_statements_on_a_line_count_twice(tmp_path: Path) -> None:
    source = tmp_path / "two.py"
    source.write_text("def f(self, a):\n    a = 1; return a\n")
    assert statements(next(functions(source))) == 2
    assert arguments(next(functions(source))) == 1
