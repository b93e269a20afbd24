"""The trace of tasks: bounded, off by default, and complete enough to follow a release by its task id."""

from __future__ import annotations

from typing import Any

from tests.relay.stage import MS, Stage, release_message
from wingbarrow.core.logs import silent
from wingbarrow.relay.placer import Placer
from wingbarrow.relay.trace import ENVIRONMENT_VARIABLE, Trace, from_environment


class Lines:
    """Records the fields of each event that a trace writes."""

    def __init__(self) -> None:
        self.fields: list[dict[str, Any]] = []

    def write(self, event: str, level: str, fields: dict[str, Any]) -> None:
        assert (event, level) == ("task", "info")
        self.fields.append(fields)


def test_a_release_is_followed_from_its_machine_to_the_owner_that_heard_it() -> None:
    lines = Lines()

    class Traced(Stage):
        def make(self, log: Any = silent) -> Placer:
            placer = super().make(log)
            return Placer(self.hub, placer._configuration, log, Trace(100, lines.write))

    def play(stage: Stage) -> None:
        stage.owner.ask(7)
        stage.sleep(50)
        ((machine, _),) = stage.set_ups(7)
        machine.tell(release_message(7))
        stage.hub.sleep(50 * MS)

    Traced().run(play)
    assert {each["id"] for each in lines.fields} == {f"{7:016x}"}
    assert [each["what"] for each in lines.fields] == [
        "asked",
        "sent",
        "machine said",
        "answer passed on",
        "machine said",
        "release told",
        "attempt over",
    ]


def test_it_writes_no_more_than_was_asked_for_and_nothing_unasked() -> None:
    lines = Lines()
    trace = from_environment({ENVIRONMENT_VARIABLE: "2"}, lines.write)
    for number in range(5):
        trace(number, "asked")
    assert len(lines.fields) == 2
    for text in ("", "-1", "many", "1.5"):
        from_environment({ENVIRONMENT_VARIABLE: text}, lines.write)(9, "asked")
    from_environment({}, lines.write)(9, "asked")
    assert len(lines.fields) == 2
