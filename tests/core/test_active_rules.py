"""What a placer goes by of the rules that placers agree on."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace
from typing import Any, cast

from wingbarrow.config import load_text
from wingbarrow.core.active_rules import ActiveRules
from wingbarrow.decide.federation.spec import Federation, Spec
from wingbarrow.lab.cluster import settings_text
from wingbarrow.peers.ruleset_settings import rules_of


def test_a_floor_leaves_the_specs_that_were_known() -> None:
    settings = load_text(settings_text(0, 1, 1, 8001, 8080, "/tmp/x"))
    base: Any = SimpleNamespace(
        settings=settings, hub=SimpleNamespace(), log=lambda *words, **more: None
    )
    book = ActiveRules(base, cast(Any, SimpleNamespace(feed=lambda scheduler: None)))
    federation = Federation((Spec("orders", ("north",)),), (), (("web", "orders"),))
    rules = rules_of(settings)
    assert book.federation() == settings.federation == Federation()
    book.take("e1", replace(rules, federation=federation).text())
    assert book.federation() == federation
    book.take("f1", rules.text())
    book.take("", "")
    assert book.federation() == federation
    book.take("e2", rules.text())
    assert book.federation() == Federation()
