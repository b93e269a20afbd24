"""The deploy file's `run` loads only the modules it needs, and none that the platform refuses."""

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
    """Names of all modules loaded by importing the entry point."""
    done = subprocess.run(
        [sys.executable, "-c", LOADED], cwd=ROOT, capture_output=True, check=True, timeout=60
    )
    return {str(name) for name in json.loads(done.stdout)}


def test_run_and_sim_are_single_exec_commands() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    for line in (deploy["run"], deploy["sim"]):
        assert line.startswith("exec ") and not set(line) & set(";&|`$"), line
    assert deploy["packages"] == []
    assert all((ROOT / path).exists() for path in deploy["policy"] + deploy["node"])


def test_run_loads_only_needed_modules_and_none_that_the_platform_refuses() -> None:
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


def test_every_module_that_run_loads_is_listed_in_the_deploy_file() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    named = [ROOT / path for path in deploy["policy"] + deploy["node"]]
    for name in sorted(loaded()):
        path = ROOT.joinpath(*name.split("."))
        if name.startswith("wingbarrow.") and not path.is_dir():
            file = path.with_suffix(".py")
            assert any(file == each or each in file.parents for each in named), (
                f"{name} is not listed in the deploy file"
            )
