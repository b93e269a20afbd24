"""The judge of a fleet's run: from the rig's events, the recording at the stand-ins and the processes' histories.

It asks no process anything and shares no code with what it judges, but for the formulas of the stated times. What it
holds the fleet to, beside the audit's five rules (each concern a file of `judging`):

- **unfounded burial**: a placer told that another is dead, though neither was stopped or down, and no link of either
  had a fault, at any time of the stated detection time before;
- **late burial**: a placer was killed and stayed down for longer than the stated detection time, while no other fault
  was on, and another that ran all the while did not tell so within that time;
- **contradiction**: an offer under an edition of the rules after one two further on was in use, or for longer than the
  stated time after the next one that forbids some of it was in use; under rules that another placer knows otherwise by
  the same label; under a floor that allows what an edition in use forbids; or under no label;
- **forbidden send**: to a machine that the offer's own rules bar or have drained, or of a class that they lack;
- **limit over**: more tasks ran at once, or were accepted within the window, than a limit of the whole fleet allows, or
  more rights are held at the end than there are;
- **needless refusal**: turned away by a limit of the fleet that was used to less than 0.6, or for want of rules, by a
  placer that had been in touch with a majority of the voters for longer than the stated time;
- **unfounded closure**: a verdict closed a machine though fewer placers than its terms want had a start fail there;
- **not on the last**: a placer that runs at the end acts on other rules than those accepted last, or has other machines
  drained than were asked for and not taken back;
- **not healed**: a stated time after the last fault, one that runs does not hold another that runs for alive.

Over regions:

- **double start**: of a task that must not start twice, anywhere; of a keyed one by a successor, within its window and
  group;
- **past lease**: an offer or a run past what its machine was told, or past what its session can have been renewed for:
  not since its holder last heard a leader with a majority, or ran (by more than the slack);
- **early reissue**: a start under a later epoch while a machine still holds the lease of the one before, or sooner than
  the voters' reckoning allows after its holder was surely in touch;
- **lost run**: leased safe work of a region that was lost, with all others well, that did not run again in time;
- **forbidden region**: a run where its spec does not allow it;
- **turn over**, **worked on busy**, **turn disorder**: a machine out beyond a budget, worked on with a task on it, or
  closed before one of its cell that stood earlier;
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
    """Judge a run by what it left."""
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
