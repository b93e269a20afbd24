"""The `subset` node: what loads, what is refused with its line and reason, and what the module is then told."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from wingbarrow.cli.main import main
from wingbarrow.config import SettingsError, load_text
from wingbarrow.config.subsetting import module_settings
from wingbarrow.decide.membership_damping import LEAVE_AFTER_US, SETTLE_US
from wingbarrow.decide.subsets import Subsets
from wingbarrow.lab.cluster import settings_text
from wingbarrow.peers.ruleset_settings import agreed_scheduler_settings, requested_rule_set

S = 1_000_000
ROSTER = ("placer-0", "placer-1", "placer-2", "placer-3", "placer-4")
NAMED = " ".join(f'"{name}"' for name in ROSTER)
ALLOWED = 'allow-peer "127.0.0.0/8"\n'


def text(subset: str, more: str = ALLOWED, state: str = "/tmp/none", index: int = 0) -> str:
    return settings_text(index, 5, 1, 1, state=state) + more + subset + "\n"


def refused(whole: str) -> list[tuple[int, str]]:
    with pytest.raises(SettingsError) as caught:
        load_text(whole)
    return caught.value.problems


def test_without_the_node_there_are_no_subsets_and_the_module_hears_what_it_always_did() -> None:
    settings = load_text(text(""))
    assert settings.subset is None
    assert module_settings(settings) is settings.scheduler


def test_a_whole_node_is_read() -> None:
    settings = load_text(
        text(
            f'subset replicas=3 spare=0.5 machines=100 {{ roster {NAMED}; leave-after "7s"; '
            'settle "300ms" }'
        )
    )
    assert settings.subset is not None
    assert settings.subset.rules.roster == ROSTER
    assert settings.subset.rules.replicas == 3
    assert settings.subset.rules.spare_part == 0.5
    assert (settings.subset.leave_after_us, settings.subset.settle_us) == (7 * S, 300_000)
    plain = load_text(text(f"subset replicas=3 {{ roster {NAMED} }}")).subset
    assert plain is not None
    assert (plain.leave_after_us, plain.settle_us) == (
        LEAVE_AFTER_US,
        SETTLE_US,
    )
    assert plain.widen == 0


def test_a_subset_may_be_widened_to_the_whole_roster_and_no_further() -> None:
    wide = load_text(text(f"subset replicas=3 widen=2 {{ roster {NAMED} }}"))
    assert wide.subset is not None
    assert wide.subset.widen == 2
    told = module_settings(wide)
    assert (told.placers, told.fresh_offers) == (3, 15.0), "cold offers are dealt as without"


@pytest.mark.parametrize(
    ("subset", "words"),
    [
        (f"subset replicas=6 {{ roster {NAMED} }}", "6 replicas, but 5 placer(s) in the roster"),
        ('subset replicas=1 { roster "placer-1" "placer-2" }', "'placer-0' is not in the roster"),
        (
            f'subset replicas=2 {{ roster {NAMED} "placer-3" }}',
            "'placer-3' is named twice in the roster",
        ),
        (
            "subset replicas=2 { roster " + " ".join(f'"placer-{n}"' for n in range(257)) + " }",
            "more than 256 placers",
        ),
        ("subset replicas=1", "a roster is wanted"),
        (
            f"subset replicas=3 widen=3 {{ roster {NAMED} }}",
            "3 replicas and 3 to widen by, but 5 placer(s) in the roster",
        ),
        (
            f"subset replicas=1 widen=9 {{ roster {NAMED} }}",
            "widen: between 0 and 8 is wanted, not 9",
        ),
        (
            f"subset replicas=1 widen=-1 {{ roster {NAMED} }}",
            "widen: between 0 and 8 is wanted, not -1",
        ),
        (f"subset replicas=1 widen=1.5 {{ roster {NAMED} }}", "widen: a whole number is wanted"),
        (f"subset replicas=0 {{ roster {NAMED} }}", "replicas: between 1 and 256 is wanted, not 0"),
        (f"subset {{ roster {NAMED} }}", "replicas= is missing"),
        (f"subset replicas=2 spare=1.5 {{ roster {NAMED} }}", "spare: between 0 and 1 is wanted"),
        (
            f'subset replicas=2 {{ roster {NAMED}; leave-after "500ms" }}',
            "leave-after: 1 s to 600 s, not 0.5 s",
        ),
        (
            f'subset replicas=2 {{ roster {NAMED}; settle "2m" }}',
            "settle: 0.1 s to 60 s, not 120 s",
        ),
        (
            f"subset replicas=2 machines=19 {{ roster {NAMED} }}",
            "about 7.6 machines for each placer, fewer than 8",
        ),
        (f"subset replicas=2 cells=4 {{ roster {NAMED} }}", "cells= without machines="),
        (
            f"subset replicas=2 machines=30 cells=31 {{ roster {NAMED} }}",
            "31 cells, but 30 machines",
        ),
        (
            f"subset replicas=2 {{ roster {NAMED} }}\nsubset replicas=2 {{ roster {NAMED} }}",
            "was given before",
        ),
        (f"subset replicas=2 {{ rooster {NAMED} }}", "did you mean 'roster'?"),
    ],
)
def test_what_is_wrong_is_told_with_its_line(subset: str, words: str) -> None:
    whole = text(subset)
    line = next(at for at, each in enumerate(whole.splitlines(), 1) if each.startswith("subset"))
    problems = refused(whole)
    assert any(words in told for _, told in problems), problems
    assert all(at in (line, line + 1) for at, told in problems), problems


def test_the_line_is_that_of_the_child_where_it_is_the_childs_fault() -> None:
    whole = text('subset replicas=1 {\n    roster "placer-1"\n    settle "9m"\n}')
    line = next(at for at, each in enumerate(whole.splitlines(), 1) if each.startswith("subset"))
    assert [at for at, _ in refused(whole)] == [line + 1, line + 2]


def test_subsets_without_a_way_to_learn_who_lives_or_without_a_state_folder_are_refused() -> None:
    subset = f"subset replicas=2 {{ roster {NAMED} }}"
    [(_, told)] = refused(text(subset, more=""))
    assert "nobody could tell who lives" in told
    [(_, told)] = refused(text(subset, state=""))
    assert "a state folder is wanted" in told
    alone = load_text(text('subset replicas=1 { roster "placer-0" }', more="", state=""))
    assert alone.subset is not None


def test_a_calendar_is_refused_beside_subsets_at_its_line() -> None:
    whole = text(f"subset replicas=2 {{ roster {NAMED} }}", ALLOWED + 'calendar "windows.ics"\n')
    [(line, told)] = refused(whole)
    assert whole.splitlines()[line - 1].startswith("calendar")
    assert "by the whole list" in told


def test_a_subset_too_small_for_the_largest_job_of_a_class_is_refused() -> None:
    """`web` is spread by cell, 3 in each: 40 machines in 20 cells give one placer of five about 12 cells by two."""
    subset = f"subset replicas=2 machines=40 cells=20 {{ roster {NAMED} }}"
    load_text(text(subset, ALLOWED + "limits { tasks-per-job 36; }\n"))
    [(_, told)] = refused(text(subset, ALLOWED + "limits { tasks-per-job 40; }\n"))
    assert (
        "class 'web' allows 3 of a service on each of about 12 cells, and a Job may have 40 tasks"
        in told
    )
    load_text(text(subset))  # no largest Job is stated


def test_the_command_names_file_and_line(tmp_path: Path) -> None:
    path = tmp_path / "placer.kdl"
    path.write_text(text(f"subset replicas=6 {{ roster {NAMED} }}"))
    line = len(path.read_text().splitlines())
    told = CliRunner().invoke(main, ["check", str(path)])
    assert told.exit_code == 2
    assert f"{path}:{line}: subset: 6 replicas" in told.output


AGREE = """agree {
    voter "placer-0" region="north"
    member "placer-1" region="north"
    member "placer-2" region="south"
    member "placer-3" region="north"
}
"""


def test_without_a_roster_the_agreeing_members_of_the_own_region_are_it() -> None:
    whole = text(
        "subset replicas=2",
        ALLOWED
        + AGREE.replace('    voter "placer-0" region="north"\n', "").replace(
            "agree {\n",
            'agree {\n    voter "placer-0" region="north"\n    voter "placer-4" region="south"\n'
            '    voter "placer-5" region="east" machines=false\n',
        ),
    )
    settings = load_text(whole.replace(" index=", ' region="north" index=', 1))
    assert settings.subset is not None
    assert settings.subset.rules.roster == (
        "placer-0",
        "placer-1",
        "placer-3",
    )


def test_the_module_deals_what_the_first_ranks_have_among_the_replicas() -> None:
    """Its own share never falls short of the deal, and all shares of the roster stay within the offers."""
    for index, name in enumerate(ROSTER):
        settings = load_text(text(f"subset replicas=3 {{ roster {NAMED} }}", index=index))
        told = module_settings(settings)
        assert settings.name == name
        assert settings.subset is not None
        assert (told.placers, told.index, told.fresh_offers) == (3, index % 3, 15.0)
        assert settings.scheduler.placers == 5, (
            "what placers share beside that, such as moves, they share as before"
        )
        subsets = Subsets(settings.subset.rules)
        assert [subsets.max_cold_offers(each, "m", 20) for each in subsets.ranking("m")] == [
            5,
            5,
            5,
            3,
            2,
        ]


def test_under_agreed_rules_the_budget_of_all_members_is_dealt_by_rank() -> None:
    members = AGREE.replace('region="north"', "").replace('region="south"', "")
    settings = load_text(
        text(f"subset replicas=3 {{ roster {' '.join(NAMED.split()[:4])} }}", ALLOWED + members)
    )
    rules = requested_rule_set(settings)
    told = agreed_scheduler_settings(settings, rules.text())
    assert (told.placers, told.fresh_offers) == (3, 15.0)
    held = agreed_scheduler_settings(settings, rules.text(), 2)
    assert (held.placers, held.fresh_offers) == (3, 6.0), (
        "a part that is held: two offers at this placer"
    )
