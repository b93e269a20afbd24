"""The standing test of the full fleet: runs the kit beside the repository and prints the line for a commit's body.

    python -m benchmarks.standing --why "one plain sentence that names the change"      # quick
    python -m benchmarks.standing --full --why "..."

Exit 2 where the kit is not there, 1 where its gate failed, and its own status where it could not be run.
"""

from __future__ import annotations

import argparse
import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
KIT = Path("..") / "given" / "kit" / "more"
BENCH, SITE = KIT / "mass" / "bin" / "lbreal", KIT / "node" / "sites" / "vantaa-campus.toml"
WHY_MOST = 120


def summary(output: str) -> str:
    """One line of what the bench printed."""
    days = re.findall(r"^(\S+)\s+G .*?descriptors (\d+) of (\d+)\s+score (\S+)", output, re.M)
    score = re.search(r"^score of the real nodes (\S+)", output, re.M)
    gate = re.search(r"^GATE .*", output, re.M)
    parts = [f"{name} {figure} ({used} of {most} descriptors)" for name, used, most, figure in days]
    return (f"From simulated servers: {gate.group() if gate else 'no gate'}; {score.group(1) if score else '?'}; "
            + ", ".join(parts))


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--why", required=True)
    parser.add_argument("--full", action="store_true")
    asked = parser.parse_args()
    if not 0 < len(asked.why) < WHY_MOST or "\n" in asked.why:
        print(f"--why: one plain sentence of less than {WHY_MOST} characters", file=sys.stderr)
        return 2
    if not (ROOT / BENCH).exists() or not (ROOT / SITE).exists():
        print(f"the kit is not beside this repository: {BENCH} and {SITE} are wanted", file=sys.stderr)
        return 2
    command = [str(BENCH), "score", str(SITE), *([] if asked.full else ["--quick"]), "--why", asked.why]
    done = subprocess.run(command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
    print(done.stdout)
    print(summary(done.stdout))
    if "GATE passed" in done.stdout:
        return 0
    return 1 if "GATE failed" in done.stdout else done.returncode or 1


if __name__ == "__main__":
    sys.exit(main())
