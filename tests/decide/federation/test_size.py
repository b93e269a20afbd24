"""Size limits: the maximum of specs and data sets fits a version, and a snapshot of all versions fits one message."""

from __future__ import annotations

import json

import pytest

from wingbarrow.config import load_text
from wingbarrow.decide.consensus import messages as consensus
from wingbarrow.decide.federation import encoding
from wingbarrow.decide.federation import spec as s
from wingbarrow.decide.rulesets.parsing import MAX_ESCAPED_CHARS, parse_rule_set, split_federation
from wingbarrow.decide.rulesets.ruleset import ClassRules, RuleSet, RuleSetError, normalized
from wingbarrow.decide.rulesets.versions import (
    MAX_OUTCOMES,
    MAX_SNAPSHOT_CHARS,
    MAX_SUBSYSTEMS_CHARS,
    RuleSetState,
    from_text,
)
from wingbarrow.peers.message import MAX_ENVELOPE_BYTES, encode_envelope, encode_message
from wingbarrow.peers.ruleset_settings import requested_rule_set

PLACES = ("eu-north-1", "eu-south-1", "us-east-1", "us-west-2", "ap-south-1", "ap-east-1")


def largest_settings(after_s: int = 30) -> str:
    """Return settings with 256 specs and 1,024 data sets of a realistic size."""
    out = [
        'placer "a" region="eu-north-1"',
        'list-source "10.0.0.5" port=8001',
        'state "state"',
        "agree {",
    ]
    out += [
        f'    {"voter" if at < 3 else "member"} "{chr(97 + at)}" region="{name}"'
        for at, name in enumerate(PLACES)
    ]
    out += ["}", 'kind "s" cores=24 memory="48Gi"', 'class "web" effect="safe" patience="5s"']
    for at in range(s.MAX_DATASETS):
        three = [PLACES[(at + step) % 6] for step in range(3)]
        out += [
            f'dataset "team-{at % 40:02}-table-{at:04}" {{',
            *(
                f'    copy "{name}" behind="{step * (30 + at % 7)}s"'
                for step, name in enumerate(three)
            ),
            *(["    stays " + " ".join(f'"{name}"' for name in three)] if at % 4 == 0 else []),
            "}",
        ]
    for at in range(s.MAX_SPECS):
        data = at * 4 + 1
        out += [
            f'federation "team-{at % 40:02}-service-{at:03}" {{',
            "    prefer " + " ".join(f'"{PLACES[(data + step) % 6]}"' for step in range(3)),
            f'    forbid "{PLACES[(data + 3) % 6]}"',
            f'    reads "team-{data % 40:02}-table-{data:04}" near="required" much="40Gi" behind="5m"',
            f'    reads "team-{(data + 1) % 40:02}-table-{data + 1:04}" much="4Gi" behind="5m"',
            f'    failover "lost" "closed" after="{after_s + at % 3}s" room=50 cores=100 memory="400Gi"',
            '    back "stable" after="10m" pace=2',
            "    over lower=50 upper=80",
            "}",
        ]
    out += [f'room "{name}" cores=40000 memory="400Ti"' for name in PLACES]
    return "\n".join(out)


def test_the_maximum_of_specs_and_data_sets_is_accepted() -> None:
    rules = requested_rule_set(load_text(largest_settings()))
    assert (len(rules.federation.specs), len(rules.federation.datasets)) == (
        s.MAX_SPECS,
        s.MAX_DATASETS,
    )
    text = rules.text()
    assert parse_rule_set(text) == rules
    assert len(encoding.encode(rules.federation)) < encoding.MAX_FEDERATION_CHARS * 3 // 4


def test_a_text_too_long_is_refused() -> None:
    federation = encoding.normalized(
        s.Federation(
            (), tuple(s.DataSet(f"{'d' * 110}-{at}", (("north", 0),)) for at in range(1024))
        )
    )
    rules = normalized(
        RuleSet(
            (ClassRules("web", "safe", "none", 0),), 4, 18, 2, (), 250, (), federation=federation
        )
    )
    with pytest.raises(RuleSetError, match="characters of specs and data sets"):
        parse_rule_set(rules.text())


def _large(turn: int, names: int = 4000) -> RuleSet:
    """Return a rule set of nearly the maximum length; two consecutive turns need an intersection step."""
    over = s.Failover(("lost",), 30_000_000 + turn, copies=1 + turn % 2)
    sets = tuple(
        s.DataSet(f"data-{'x' * 38}-{at:04}", (("north", 0), ("south", turn))) for at in range(1024)
    )
    specs = tuple(
        s.Spec(
            f"spec-{'x' * 200}"[:100] + f"-{at:03}",
            ("north", "south"),
            ("east",),
            failover=over,
            on_cut=s.PARTITION_ACTIONS[turn % 2],
        )
        for at in range(256)
    )
    barred = tuple(f"n{at:04}" for at in range(names))
    return normalized(
        RuleSet(
            (ClassRules("web", "safe", "none", 0),),
            1 + turn % 9,
            18,
            2,
            (),
            250,
            barred,
            federation=encoding.normalized(s.Federation(specs, sets)),
        )
    )


def test_a_snapshot_with_all_that_is_kept_fits_one_message() -> None:
    agreed = RuleSetState()
    for turn in range(6):
        rules = _large(turn)
        rest, federation = split_federation(rules)
        assert len(json.dumps(rest)) > MAX_ESCAPED_CHARS * 0.8
        assert len(federation) > encoding.MAX_FEDERATION_CHARS * 0.85
        agreed.apply(
            "propose",
            json.dumps(
                {
                    "ident": f"{turn}" * 100,
                    "base": turn,
                    "rules": rules.text(),
                    "by": "é" * 253,
                    "why": "\\" * 500,
                }
            ),
        )
        assert agreed.outcomes[f"{turn}" * 100] == "", agreed.outcomes
    assert len(agreed.steps) == 2, "conflicting versions need an intersection step"
    for number in range(4):
        agreed.apply(
            "floor", json.dumps({"ident": f"f{number}", "rules": _large(0).text(), "lasts_us": 1})
        )
    assert len(agreed.floors) == 2 and "floors that may still be out" in agreed.outcomes["f3"], (
        agreed.outcomes["f1"]
    )
    for number in range(MAX_OUTCOMES):
        agreed.apply(
            "propose",
            json.dumps(
                {
                    "ident": f"{number}-" + "i" * 96,
                    "base": 0,
                    "rules": agreed.rules,
                    "by": "",
                    "why": "",
                }
            ),
        )
    state = agreed.text()
    message = encode_message(
        consensus.InstallSnapshot(1 << 40, 1 << 40, 1 << 40, "a b c", state, 1 << 40)
    )
    assert len(encode_envelope("main", "a" * 253, "b" * 300, [message])) < MAX_SNAPSHOT_CHARS
    assert MAX_SNAPSHOT_CHARS + MAX_SUBSYSTEMS_CHARS < MAX_ENVELOPE_BYTES - 4096
    restored = from_text(state)
    assert restored == agreed
    assert restored.text() == state


def test_versions_keep_their_federation_within_the_size_limit() -> None:
    agreed = RuleSetState()
    for turn in range(7):
        agreed.apply(
            "propose",
            json.dumps(
                {
                    "ident": f"p{turn}",
                    "base": turn,
                    "by": "",
                    "why": "",
                    "rules": _small(turn).text(),
                }
            ),
        )
    whole = [agreed.text_of(each) for each in agreed.versions]
    assert whole == [_small(turn).text() for turn in range(7)]
    assert len(agreed.federations) == 2
    for turn in range(7, 12):
        agreed.apply(
            "propose",
            json.dumps(
                {
                    "ident": f"p{turn}",
                    "base": turn,
                    "by": "",
                    "why": "",
                    "rules": _large(turn, 0).text(),
                }
            ),
        )
    assert agreed.text_of(agreed.versions[-1]) == agreed.latest == _large(11, 0).text()
    assert agreed.text_of(agreed.versions[0]) is None, "the oldest are dropped first"


def _small(turn: int) -> RuleSet:
    spec = s.Spec("orders", ("north", "south"), on_cut=s.PARTITION_ACTIONS[turn % 2])
    return normalized(
        RuleSet(
            (ClassRules("web", "safe", "none", 0),),
            1 + turn,
            18,
            2,
            (),
            250,
            (),
            federation=s.Federation((spec,)),
        )
    )


def test_a_step_that_exceeds_the_bounds_is_rejected() -> None:
    def rules(part: str) -> RuleSet:
        needs = tuple(s.Need(f"{part}{at}") for at in range(20))
        spec = s.Spec("orders", ("north", "south"), data=needs)
        return normalized(
            RuleSet(
                (ClassRules("web", "safe", "none", 0),),
                4,
                18,
                2,
                (),
                250,
                (),
                federation=s.Federation((spec,)),
            )
        )

    agreed = RuleSetState()
    for turn, part in enumerate("ab"):
        agreed.apply(
            "propose",
            json.dumps(
                {"ident": part, "base": turn, "by": "", "why": "", "rules": rules(part).text()}
            ),
        )
    assert agreed.outcomes["a"] == ""
    assert agreed.outcomes["b"].startswith("what both allow cannot be said")
    assert agreed.version == 1


def test_a_snapshot_without_federations_is_read() -> None:
    rules = _small(0)
    text = split_federation(rules)[0]
    old = {
        "edition": 1,
        "rules": text,
        "version": 1,
        "steps": [text],
        "outcomes": {"x": ""},
        "chapters": {},
        "versions": [
            {"number": 1, "rules": text, "base": 0, "by": "a", "why": "b", "digest": rules.digest}
        ],
        "floors": [{"number": 1, "rules": text, "lasts_us": 5}],
    }
    agreed = from_text(json.dumps(old))
    assert (agreed.rules, agreed.steps, agreed.text_of(agreed.versions[0])) == (text, [text], text)
    assert from_text(agreed.text()) == agreed
