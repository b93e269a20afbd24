"""The `subset` node: valid nodes, errors with line and reason, and the resulting settings of the decision module."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from wingbarrow.cli.main import main
from wingbarrow.config import SettingsError, load_text
from wingbarrow.config.subset_settings import module_settings
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


def test_without_the_node_there_are_no_subsets_and_the_module_settings_are_unchanged() -> None:
    settings = load_text(text(""))
    assert settings.subset is None
    assert module_settings(settings) is settings.scheduler


def test_all_parts_of_a_node_are_read() -> None:
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
    scheduler = module_settings(wide)
    assert (scheduler.placers, scheduler.fresh_offers) == (3, 15.0), (
        "the shares of cold offers do not depend on widen="
    )


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
def test_each_error_is_reported_with_its_line(subset: str, words: str) -> None:
    whole = text(subset)
    line = next(at for at, each in enumerate(whole.splitlines(), 1) if each.startswith("subset"))
    problems = refused(whole)
    assert any(words in error for _, error in problems), problems
    assert all(at in (line, line + 1) for at, error in problems), problems


def test_an_error_of_a_child_node_has_the_line_of_the_child() -> None:
    whole = text('subset replicas=1 {\n    roster "placer-1"\n    settle "9m"\n}')
    line = next(at for at, each in enumerate(whole.splitlines(), 1) if each.startswith("subset"))
    assert [at for at, _ in refused(whole)] == [line + 1, line + 2]


def test_subsets_without_allowed_peers_or_without_a_state_folder_are_refused() -> None:
    subset = f"subset replicas=2 {{ roster {NAMED} }}"
    [(_, error)] = refused(text(subset, more=""))
    assert "to learn which placers are live" in error
    [(_, error)] = refused(text(subset, state=""))
    assert "a state folder is wanted" in error
    alone = load_text(text('subset replicas=1 { roster "placer-0" }', more="", state=""))
    assert alone.subset is not None


def test_a_calendar_is_refused_beside_subsets_at_its_line() -> None:
    whole = text(f"subset replicas=2 {{ roster {NAMED} }}", ALLOWED + 'calendar "windows.ics"\n')
    [(line, error)] = refused(whole)
    assert whole.splitlines()[line - 1].startswith("calendar")
    assert "on the whole list" in error


def test_a_subset_too_small_for_the_largest_job_of_a_class_is_refused() -> None:
    """`web` is spread by cell, 3 in each: of 40 machines in 20 cells, one of five placers holds about 12 cells."""
    subset = f"subset replicas=2 machines=40 cells=20 {{ roster {NAMED} }}"
    load_text(text(subset, ALLOWED + "limits { tasks-per-job 36; }\n"))
    [(_, error)] = refused(text(subset, ALLOWED + "limits { tasks-per-job 40; }\n"))
    assert (
        "class 'web' allows 3 of a service on each of about 12 cells, and a Job may have 40 tasks"
        in error
    )
    load_text(text(subset))  # no largest Job is stated


def test_the_command_names_file_and_line(tmp_path: Path) -> None:
    path = tmp_path / "placer.kdl"
    path.write_text(text(f"subset replicas=6 {{ roster {NAMED} }}"))
    line = len(path.read_text().splitlines())
    result = CliRunner().invoke(main, ["check", str(path)])
    assert result.exit_code == 2
    assert f"{path}:{line}: subset: 6 replicas" in result.output


AGREE = """agree {
    voter "placer-0" region="north"
    member "placer-1" region="north"
    member "placer-2" region="south"
    member "placer-3" region="north"
}
"""


def test_the_default_roster_is_the_members_with_machines_in_the_own_region() -> None:
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


def test_the_module_divides_the_offers_of_the_first_ranks_among_the_replicas() -> None:
    """A placer's share is at least what the module gives it, and all shares of the roster stay within the offers."""
    for index, name in enumerate(ROSTER):
        settings = load_text(text(f"subset replicas=3 {{ roster {NAMED} }}", index=index))
        scheduler = module_settings(settings)
        assert settings.name == name
        assert settings.subset is not None
        assert (scheduler.placers, scheduler.index, scheduler.fresh_offers) == (3, index % 3, 15.0)
        assert settings.scheduler.placers == 5, (
            "other budgets, such as that of moves, are still shared by all placers"
        )
        subsets = Subsets(settings.subset.rules)
        assert [subsets.max_cold_offers(each, "m", 20) for each in subsets.ranking("m")] == [
            5,
            5,
            5,
            3,
            2,
        ]


def test_under_agreed_rules_the_budget_of_all_members_is_divided_by_rank() -> None:
    members = AGREE.replace('region="north"', "").replace('region="south"', "")
    settings = load_text(
        text(f"subset replicas=3 {{ roster {' '.join(NAMED.split()[:4])} }}", ALLOWED + members)
    )
    rules = requested_rule_set(settings)
    scheduler = agreed_scheduler_settings(settings, rules.text())
    assert (scheduler.placers, scheduler.fresh_offers) == (3, 15.0)
    held = agreed_scheduler_settings(settings, rules.text(), 2)
    assert (held.placers, held.fresh_offers) == (3, 6.0), (
        "with an allocation of two offers at this placer"
    )
