"""Trees of earlier commits, and processes that run a program text against one of them."""

from __future__ import annotations

import io
import os
import subprocess
import sys
import tarfile
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from tempfile import TemporaryDirectory

ROOT = Path(__file__).parent.parent


@contextmanager
def exported(commit: str) -> Iterator[Path]:
    """The files of a commit in a folder of their own, removed afterwards.

    Raises SystemExit where git does not know the commit.
    """
    archive = subprocess.run(["git", "archive", commit], cwd=ROOT, capture_output=True)
    if archive.returncode:
        raise SystemExit(f"{commit}: {archive.stderr.decode().strip()}")
    with TemporaryDirectory(prefix="wingbarrow-tree-") as folder:
        with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as files:
            files.extractall(folder, filter="data")
        yield Path(folder)


def short_name(commit: str) -> str:
    """The first seven digits of a commit's id."""
    name = subprocess.run(
        ["git", "rev-parse", f"{commit}^{{commit}}"], cwd=ROOT, capture_output=True, text=True
    )
    if name.returncode:
        raise SystemExit(f"{commit}: {name.stderr.strip()}")
    return name.stdout[:7]


def start_in(tree: Path, program: Path, arguments: Sequence[str]) -> subprocess.Popen[str]:
    """Run a program text whose `import wingbarrow` finds this tree alone; its output is piped.

    The hash seed is the same for all, so that equal programs walk their sets alike.
    """
    return subprocess.Popen(
        [sys.executable, "-P", str(program), *arguments],
        cwd=tree,
        env=os.environ | {"PYTHONPATH": str(tree), "PYTHONHASHSEED": "0"},
        stdout=subprocess.PIPE,
        text=True,
    )


def end(process: subprocess.Popen[str]) -> None:
    """End a process of `start_in` that is not needed any more."""
    if process.poll() is None:
        process.kill()
    if process.stdout is not None:
        process.stdout.close()
    process.wait()
