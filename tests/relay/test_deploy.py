"""What `run` in the deploy file loads: no more than it needs, and nothing that the platform refuses."""

from __future__ import annotations

import json
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[2]
LOADED = """
import json, sys
before = set(sys.modules)
import wingbarrow.relay.__main__
print(json.dumps(sorted(set(sys.modules) - before)))
"""
REFUSED = {
    "subprocess",
    "multiprocessing",
    "pty",
    "asyncio",
    "concurrent.futures",
    "ssl",
    "ctypes",
    "mmap",
    "sqlite3",
}


def loaded() -> set[str]:
    """The names of all modules that `run` has loaded once it could begin."""
    done = subprocess.run(
        [sys.executable, "-c", LOADED], cwd=ROOT, capture_output=True, check=True, timeout=60
    )
    return {str(name) for name in json.loads(done.stdout)}


def test_run_is_one_process_of_this_program() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    for line in (deploy["run"], deploy["sim"]):
        assert line.startswith("exec ") and not set(line) & set(";&|`$"), line
    assert deploy["packages"] == []
    assert all((ROOT / path).exists() for path in deploy["policy"] + deploy["node"])


def test_run_loads_what_it_needs_and_nothing_that_is_refused() -> None:
    names = loaded()
    assert not REFUSED & names
    assert {name.partition(".")[0] for name in names} - set(sys.stdlib_module_names) == {
        "wingbarrow",
        "greenlet",
    }
    packages = {
        name.split(".")[1].partition("_")[0] for name in names if name.startswith("wingbarrow.")
    }
    assert packages <= {
        "core",
        "decide",
        "http",
        "interface",
        "machine",
        "placement",
        "relay",
        "scheduler",
        "settings",
        "transport",
    }


def test_what_run_loads_is_named_in_the_deploy_file() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    named = [ROOT / path for path in deploy["policy"] + deploy["node"]]
    for name in sorted(loaded()):
        path = ROOT.joinpath(*name.split("."))
        if name.startswith("wingbarrow.") and not path.is_dir():
            file = path.with_suffix(".py")
            assert any(file == each or each in file.parents for each in named), (
                f"{name} is not named"
            )
