"""The standing test of the full fleet, and lists of plays of single days: runs the kit beside the repository.

    python -m benchmarks.standing --why "one plain sentence that names the change"      # quick; a line for the commit
    python -m benchmarks.standing --full --why "..."
    python -m benchmarks.standing --play deploy/sites/aveiro-quay.toml:roll+mass:9101 --play umea-hall:split+mass:9101
    python -m benchmarks.standing --site galway-press --days roll+mass,join+mass --seeds 9101-9110 --nodes 30 \\
        --at-once 2 --logs logs

A site is a path, or the name of one in deploy/sites or in the kit. Each play prints one row when it ends (`-`: the
report does not hold it) and leaves its entry in the journal of the checkout it was played from (`--root`, default this
one).

Exit 0 where all passed; 1 where the gate or a play failed, was not played, or has a report that cannot be read; 2 for
bad arguments and where the kit is not there. The standing test ends with the kit's own status where it could not be
run.
"""

from __future__ import annotations

import argparse
import os
import re
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor, as_completed
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from pathlib import Path

from benchmarks.plays import Report, Unreadable, read

ROOT = Path(__file__).resolve().parent.parent
KIT = Path("..") / "given" / "kit" / "more"
BENCH, SITE = KIT / "mass" / "bin" / "lbreal", KIT / "node" / "sites" / "vantaa-campus.toml"
SITES = (
    Path("deploy") / "sites",
    KIT / "node" / "sites",
    KIT / "mass" / "other",
)  # where a site's name is looked for
WHY_MOST = 120
AT_ONCE_MOST, PLAYS_MOST, SEEDS_MOST = 4, 200, 100
PLAY_MOST_S, SCORE_MOST_S, END_MOST_S = (
    45 * 60,
    3 * 3600,
    10,
)  # a long day may take 40 minutes of real time
LOOK_S = 0.5  # how often a play is looked at


class Refused(Exception):
    """Bad arguments, in one line."""


@dataclass(frozen=True)
class Play:
    """One day to be played."""

    site: Path
    day: str
    seed: int

    @property
    def label(self) -> str:
        """Names its logs and its report."""
        return f"{self.site.stem}-{self.day}-{self.seed}"


@dataclass(frozen=True)
class Way:
    """How all of them are played. `nodes`: None for full size; `most_s`: seconds of real time for one."""

    bench: Path
    root: Path
    why: str | None
    nodes: int | None
    logs: Path | None
    reports: Path
    most_s: float

    def command(self, play: Play) -> list[str]:
        """The bench's arguments for one play."""
        why = self.why or f"A look at {play.day} with seed {play.seed} on {play.site.stem}"
        return [
            str(self.bench),
            os.path.relpath(play.site, self.root),
            "--rough",
            play.day,
            "--seed",
            str(play.seed),
            *([] if self.nodes is None else ["--nodes", str(self.nodes)]),
            "--json",
            str(self.report(play)),
            *([] if self.logs is None else ["--logs", str(self.logs / play.label)]),
            "--why",
            why,
        ]

    def report(self, play: Play) -> Path:
        """Where the bench puts the play's report."""
        return self.reports / f"{play.label}.json"


def summary(output: str) -> str:
    """One line of what the bench printed."""
    days = re.findall(r"^(\S+)\s+G .*?descriptors (\d+) of (\d+)\s+score (\S+)", output, re.M)
    score = re.search(r"^score of the real nodes (\S+)", output, re.M)
    gate = re.search(r"^GATE .*", output, re.M)
    parts = [f"{name} {figure} ({used} of {most} descriptors)" for name, used, most, figure in days]
    return (
        f"From simulated servers: {gate.group() if gate else 'no gate'}; {score.group(1) if score else '?'}; "
        + ", ".join(parts)
    )


@contextmanager
def group(command: Sequence[str], root: Path, output: Path) -> Iterator[subprocess.Popen[bytes]]:
    """The bench in a process group of its own, its words in `output`; whatever ends the block ends the group."""
    with output.open("wb") as words:
        running = subprocess.Popen(
            command,
            cwd=root,
            stdin=subprocess.DEVNULL,
            stdout=words,
            stderr=subprocess.STDOUT,
            start_new_session=True,
        )
    try:
        yield running
    finally:
        for sign in (signal.SIGTERM, signal.SIGKILL):
            if running.poll() is not None:
                break
            os.killpg(running.pid, sign)
            with suppress(subprocess.TimeoutExpired):
                running.wait(END_MOST_S)


def ended(running: subprocess.Popen[bytes], most_s: float, stop: threading.Event) -> int:
    """Waits for the bench: its status. TimeoutExpired after `most_s` seconds, or once `stop` is set."""
    until = time.monotonic() + most_s
    while not stop.is_set() and time.monotonic() < until:
        with suppress(subprocess.TimeoutExpired):
            return running.wait(min(LOOK_S, max(until - time.monotonic(), 0)))
    raise subprocess.TimeoutExpired(running.args, most_s)


def carry_out(play: Play, way: Way, stop: threading.Event) -> tuple[str, list[str]]:
    """Plays one day: its row, and why it does not pass (empty where it does)."""
    head = f"{play.site.stem} {play.day} {play.seed}"
    output = way.reports / f"{play.label}.txt"
    try:
        way.report(play).unlink(missing_ok=True)
        if way.logs is not None:
            (way.logs / play.label).mkdir(parents=True, exist_ok=True)
        with group(way.command(play), way.root, output) as running:
            status = ended(running, way.most_s, stop)
        report = only(read(way.report(play)), play)
    except subprocess.TimeoutExpired:
        return f"{head}  not played to its end within {way.most_s:g} s", ["not played"]
    except OSError as error:
        return f"{head}  not played: {error}", ["not played"]
    except Unreadable as error:
        return f"{head}  not read: {error}; the bench ended with {status}: {last_line(output)}", [
            "not read"
        ]
    wrong = report.failures()
    if status:
        wrong.append(f"the bench ended with {status}")
    return f"{head}  {report.text()}  " + (
        f"FAILED: {'; '.join(wrong)}" if wrong else "passed"
    ), wrong


def only(reports: list[Report], play: Play) -> Report:
    """The one report, if it is this play's; else Unreadable."""
    if len(reports) != 1:
        raise Unreadable(f"report of {len(reports)} days")
    report = reports[0]
    if report.seed not in (None, play.seed) or sorted(report.day.split("+")) != sorted(
        play.day.split("+")
    ):
        raise Unreadable(f"report of another play: {report.day} {report.seed}")
    return report


def last_line(output: Path) -> str:
    """The last line that the bench printed, for a play with no report."""
    try:
        lines = output.read_text(errors="replace")[-4000:].split("\n")
    except OSError:
        return "-"
    return next(
        (line.strip()[:160] for line in reversed(lines) if line.strip()), "it printed nothing"
    )


def carry_out_all(plays: Sequence[Play], way: Way, at_once: int) -> int:
    """All of them, some at once; prints a row for each as it ends and a last line. Exit status 0 or 1."""
    failed, unplayed = 0, 0
    pool, stop = ThreadPoolExecutor(at_once), threading.Event()
    try:
        for done in as_completed([pool.submit(carry_out, play, way, stop) for play in plays]):
            row, wrong = done.result()
            print(row, flush=True)
            missed = wrong in (["not played"], ["not read"])
            unplayed, failed = unplayed + missed, failed + (bool(wrong) and not missed)
    finally:
        stop.set()
        pool.shutdown(cancel_futures=True)
    passed = len(plays) - failed - unplayed
    print(
        f"{len(plays)} plays: {passed} passed, {failed} failed, {unplayed} not played or not read"
    )
    return 1 if failed or unplayed else 0


def site_path(named: str, root: Path) -> Path:
    """The file of a site given as a path (from here, else from `root`) or a name; Refused where there is none."""
    by_name = [base / place / f"{named}.toml" for base in (root, ROOT) for place in SITES]
    for path in [Path(named), root / named, *by_name]:
        if path.suffix == ".toml" and path.is_file():
            return path.resolve()
    raise Refused(f"no site {named}")


def play_of(site: str, day: str, seed: str, root: Path) -> Play:
    """One play as asked for; Refused where it cannot be one."""
    if not re.fullmatch(r"[a-z]+(\+[a-z]+)*", day):
        raise Refused(f"no day: {day}")
    if not re.fullmatch(r"[0-9]{1,18}", seed):
        raise Refused(f"no seed: {seed}")
    return Play(site_path(site, root), day, int(seed))


def seeds_of(text: str) -> list[str]:
    """`9101-9104,7` as a list of seeds; Refused where it is none, or too many."""
    seeds: list[str] = []
    for part in text.split(","):
        bounds = re.fullmatch(r"([0-9]{1,18})(?:-([0-9]{1,18}))?", part)
        if bounds is None:
            raise Refused(f"--seeds: {part} is no seed and no range of them")
        first, last = int(bounds[1]), int(bounds[2] or bounds[1])
        if last < first or last - first + 1 + len(seeds) > SEEDS_MOST:
            raise Refused(f"--seeds: 1 to {SEEDS_MOST} of them")
        seeds += map(str, range(first, last + 1))
    return seeds


def plays_of(asked: argparse.Namespace, root: Path) -> list[Play]:
    """All plays asked for, none of them twice; Refused where there is something wrong with one."""
    plays = []
    for text in asked.play:
        parts = text.rsplit(":", 2)
        if len(parts) != 3:
            raise Refused(f"--play SITE:DAY:SEED, not {text}")
        plays.append(play_of(parts[0], parts[1], parts[2], root))
    given = [value is not None for value in (asked.days, asked.seeds, asked.site)]
    if any(given) and not all(given):
        raise Refused("--days, --seeds and --site go together")
    if all(given):
        seeds = seeds_of(asked.seeds)
        plays += [
            play_of(asked.site, day, seed, root) for day in asked.days.split(",") for seed in seeds
        ]
    if len(set(plays)) != len(plays) or len({play.label for play in plays}) != len(plays):
        raise Refused("a play is asked for twice")
    if len(plays) > PLAYS_MOST:
        raise Refused(f"{PLAYS_MOST} plays at most")
    return plays


def play_all(asked: argparse.Namespace, root: Path, bench: Path) -> int:
    """The list of plays, with its reports kept where --reports names a folder."""
    plays = plays_of(asked, root)
    if not 1 <= asked.at_once <= AT_ONCE_MOST:
        raise Refused(f"--at-once: 1 to {AT_ONCE_MOST}")
    if asked.nodes is not None and not 1 <= asked.nodes <= 1000:
        raise Refused("--nodes: 1 to 1000")
    if not 0 < asked.most_s <= PLAY_MOST_S:
        raise Refused(f"--most-s: up to {PLAY_MOST_S}")
    if asked.full:
        raise Refused("--full is for the standing test, not for plays")
    with tempfile.TemporaryDirectory(prefix="standing-") as scratch:
        reports = (asked.reports or Path(scratch)).resolve()
        try:
            reports.mkdir(parents=True, exist_ok=True)
        except OSError as error:
            raise Refused(f"--reports: {error.strerror}") from error
        logs = None if asked.logs is None else asked.logs.resolve()
        way = Way(bench, root, asked.why, asked.nodes, logs, reports, asked.most_s)
        return carry_out_all(plays, way, asked.at_once)


def score(asked: argparse.Namespace, root: Path, bench: Path) -> int:
    """The standing test itself."""
    if asked.why is None:
        raise Refused("--why: one plain sentence is wanted")
    if not (root / SITE).exists() and not (ROOT / SITE).exists():
        raise Refused(f"the kit is not beside this repository: {SITE} is wanted")
    site = SITE if (root / SITE).exists() else ROOT / SITE
    command = [
        str(bench),
        "score",
        str(site),
        *([] if asked.full else ["--quick"]),
        "--why",
        asked.why,
    ]
    with tempfile.TemporaryDirectory(prefix="standing-") as scratch:
        output = Path(scratch) / "score.txt"
        try:
            with group(command, root, output) as running:
                status = running.wait(SCORE_MOST_S)
        except subprocess.TimeoutExpired:
            print(f"standing: not played to the end within {SCORE_MOST_S} s", file=sys.stderr)
            status = 1
        printed = output.read_text(errors="replace")
    print(printed)
    print(summary(printed))
    if "GATE passed" in printed:
        return 0
    return 1 if "GATE failed" in printed else status or 1


def arguments() -> argparse.ArgumentParser:
    """What may be asked for."""
    parser = argparse.ArgumentParser(
        prog="standing", description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument(
        "--why", help="one plain sentence for the journal; wanted for the standing test"
    )
    parser.add_argument("--full", action="store_true", help="all days of the standing test")
    parser.add_argument("--play", action="append", default=[], metavar="SITE:DAY:SEED")
    parser.add_argument("--days", metavar="DAY,...")
    parser.add_argument("--seeds", metavar="N-M,...")
    parser.add_argument("--site", metavar="SITE")
    parser.add_argument(
        "--nodes", type=int, help="fewer machines, as a look; default the day's full size"
    )
    parser.add_argument(
        "--logs", type=Path, metavar="DIR", help="the placers' logs, a folder for each play"
    )
    parser.add_argument(
        "--reports", type=Path, metavar="DIR", help="keep the bench's JSON and words here"
    )
    parser.add_argument(
        "--at-once",
        type=int,
        default=1,
        metavar="N",
        help=f"plays side by side, 1 to {AT_ONCE_MOST}",
    )
    parser.add_argument(
        "--most-s", type=float, default=PLAY_MOST_S, metavar="S", help="real time for one play"
    )
    parser.add_argument(
        "--root", type=Path, default=ROOT, metavar="DIR", help="the checkout to play from"
    )
    parser.add_argument("--bench", type=Path, help="another bench program than the kit's")
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Exit status, as the module says."""
    asked = arguments().parse_args(argv)
    root = asked.root.resolve()
    try:
        if asked.why is not None and (not 0 < len(asked.why) < WHY_MOST or "\n" in asked.why):
            raise Refused(f"--why: one plain sentence of less than {WHY_MOST} characters")
        if not (root / "deploy" / "balancer.toml").is_file():
            raise Refused(f"--root: {asked.root} is no checkout with a deploy file")
        bench = asked.bench.resolve() if asked.bench else (ROOT / BENCH).resolve()
        if not bench.is_file():
            raise Refused(
                f"the kit is not beside this repository: {asked.bench or BENCH} is wanted"
            )
        playing = asked.play or any(
            value is not None for value in (asked.days, asked.seeds, asked.site)
        )
        return (play_all if playing else score)(asked, root, bench)
    except Refused as error:
        print(f"standing: {error}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    signal.signal(
        signal.SIGTERM, lambda *_: sys.exit(128 + signal.SIGTERM)
    )  # so that what runs is ended too
    sys.exit(main())
