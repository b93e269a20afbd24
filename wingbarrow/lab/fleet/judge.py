"""Judges a run of a fleet, from the rig's events, the stand-ins' recording and the processes' histories.

The judge queries no process, and shares no code with the processes that it judges except the formulas of the stated
times. Besides the audit's five rules it counts the following breaches; each concern is a module of `judging`:

- **unfounded burial**: a placer declared another dead, although neither was stopped or down, nor had a link of either a
  fault, at any time within the stated detection time before;
- **late burial**: a placer was killed and stayed down for longer than the stated detection time, there was no other
  fault in that time, and another placer that ran throughout did not declare it dead within that time;
- **contradiction**: an offer under an edition of the rules after the edition two numbers later was in use; or later
  than the stated time after the next edition was in use, if that forbids something that the offer's edition allows; or
  under rules that another placer has differently under the same label; or under a floor that allows what an edition in
  use forbids; or under no label;
- **forbidden send**: an offer to a machine that its own rules bar or have drained, or of a class that they lack;
- **limit over**: more tasks ran at once, or were accepted within the window, than a limit of the whole fleet allows, or
  more rights are held at the end than exist;
- **needless refusal**: a refusal for a limit of the fleet that was used to less than 0.6, or for lack of rules, by a
  placer that had been in contact with a majority of the voters for longer than the stated time;
- **unfounded closure**: an outlier verdict closed a machine although fewer placers than its settings require had a
  failed start there;
- **not on the last**: a placer that runs at the end acts on rules other than those accepted last, or has drained other
  machines than those whose drain was requested and not cancelled;
- **not healed**: a stated time after the last fault, a running placer does not consider another running one alive.

Over regions:

- **double start**: a second start of an unsafe task in any region, or of a keyed task by a successor within its window
  and group;
- **past lease**: an offer or a run after the end of the lease that its machine recorded, or after the time until
  which its session can have been renewed: its holder has since not run, or not been in contact with a leader that has
  a majority (by more than the slack);
- **early reissue**: a start under a later epoch while a machine still holds the lease of an earlier one, or sooner
  after its holder was certainly in contact than the voters can have ended the session;
- **lost run**: leased safe work of a lost region that did not run again in time, with all other regions undisturbed;
- **forbidden region**: a run in a region that its spec does not allow;
- **turn over**, **worked on busy**, **turn disorder**: a machine out beyond a budget, worked on while it had a task, or
  closed before one of its cell that was earlier in the queue;
- **double answer**: final answers of two placers for one Job.
"""

from __future__ import annotations

from pathlib import Path

from wingbarrow.config import load_file
from wingbarrow.lab.audit import audit
from wingbarrow.lab.fleet.judging.dead_members import judge_dead_members, judge_end
from wingbarrow.lab.fleet.judging.leases import judge_leases
from wingbarrow.lab.fleet.judging.limits import judge_closures, judge_limits
from wingbarrow.lab.fleet.judging.refusals import judge_refusals
from wingbarrow.lab.fleet.judging.rules import judge_rules
from wingbarrow.lab.fleet.judging.run import Run
from wingbarrow.lab.fleet.judging.turns import judge_turns
from wingbarrow.lab.fleet.judging.verdict import Verdict

CONCERNS = (
    judge_rules,
    judge_limits,
    judge_refusals,
    judge_closures,
    judge_dead_members,
    judge_end,
    judge_leases,
    judge_turns,
)


def judge(folder: Path) -> Verdict:
    """Judge a run by the files in its directory.

    Counts breaches in the verdict instead of raising them.
    """
    run = Run(folder)
    out = Verdict(
        len(run.names),
        faults=sum(each["what"] == "fault" for each in run.events),
        kills=sum(each["what"] == "killed" for each in run.events),
        slack_ms=run.slack_us // 1000,
    )
    out.audit = audit(run.records, load_file(folder / f"{run.names[0]}.kdl"), run.slack_us)
    out.sends = out.audit.offers
    out.notes += out.audit.notes
    for concern in CONCERNS:
        concern(run, out)
    return out
