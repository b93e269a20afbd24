"""Keys of the lab's verdicts and audits, in their order, and the bytes of a line of each."""

from __future__ import annotations

import json

from tests.wire.golden import assert_golden
from wingbarrow.lab.audit import BREACHES as AUDIT_BREACHES
from wingbarrow.lab.audit import Audit
from wingbarrow.lab.fleet.judging.verdict import BREACHES as VERDICT_BREACHES
from wingbarrow.lab.fleet.judging.verdict import Verdict


def numbered(line: dict[str, object]) -> dict[str, object]:
    """With a number of its own for each figure but the kind, so that no two keys can change places unseen."""
    return {
        key: value if key == "kind" else number for number, (key, value) in enumerate(line.items())
    }


def test_the_audit_of_a_day() -> None:
    audit = Audit()
    lines = [json.dumps(audit.line()), json.dumps(numbered(audit.line()))]
    for name in AUDIT_BREACHES:
        audit.breach(name, 5, "words")
    lines += [json.dumps(audit.line()), json.dumps(audit.notes), json.dumps(AUDIT_BREACHES)]
    assert_golden("lab/audit.jsonl", "\n".join([*lines, ""]).encode())


def test_the_verdict_on_a_fleet() -> None:
    verdict = Verdict(5)
    lines = [json.dumps(verdict.line()), json.dumps(numbered(verdict.line()))]
    for name in VERDICT_BREACHES:
        verdict.breach(name, f"{name}: words")
    verdict.audit.breach("double_answers", 5, "words")
    lines += [json.dumps(verdict.line()), json.dumps(verdict.notes), json.dumps(VERDICT_BREACHES)]
    assert_golden("lab/verdict.jsonl", "\n".join([*lines, ""]).encode())
