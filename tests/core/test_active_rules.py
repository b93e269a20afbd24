"""The agreed rule set in force at a placer."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace
from typing import Any, cast

from wingbarrow.config import load_text
from wingbarrow.core.active_rules import ActiveRules
from wingbarrow.decide.federation.spec import Federation, Spec
from wingbarrow.lab.cluster import settings_text
from wingbarrow.peers.ruleset_settings import requested_rule_set


def test_federation_specs_of_the_last_revision_go_on_under_a_floor() -> None:
    settings = load_text(settings_text(0, 1, 1, 8001, 8080, "/tmp/x"))
    context: Any = SimpleNamespace(
        settings=settings, hub=SimpleNamespace(), log=lambda event, **fields: None
    )
    active = ActiveRules(context, cast(Any, SimpleNamespace(feed=lambda scheduler: None)))
    federation = Federation((Spec("orders", ("north",)),), (), (("web", "orders"),))
    rules = requested_rule_set(settings)
    assert active.federation() == settings.federation == Federation()
    active.on_rules("e1", replace(rules, federation=federation).text())
    assert active.federation() == federation
    active.on_rules("f1", rules.text())
    active.on_rules("", "")
    assert active.federation() == federation
    active.on_rules("e2", rules.text())
    assert active.federation() == Federation()
