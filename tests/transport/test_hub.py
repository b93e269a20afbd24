"""The hub: time, cancellation, nurseries, domains, channels."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest

from wingbarrow.transport import (
    Cancelled,
    CancelScope,
    Channel,
    Closed,
    Domain,
    Full,
    Hub,
    Nursery,
    Signal,
    VirtualClock,
    connect,
    listen,
)

S = 1_000_000


@pytest.fixture
def hub() -> Hub:
    return Hub(VirtualClock(start_us=0))


def test_sleeping_tasks_wake_in_order_of_time(hub: Hub) -> None:
    woken: list[int] = []
    times = random.Random(5).sample(range(1, 1000), 60)

    def main() -> None:
        with Nursery(hub) as nursery:
            for at in times:
                nursery.spawn(lambda at=at: (hub.sleep(at), woken.append(at)))

    hub.run(main)
    assert woken == sorted(times)
    assert hub.now_us() == max(times)


def test_cancelled_timers_are_removed_from_the_heap(hub: Hub) -> None:
    def main() -> None:
        for _ in range(20_000):
            hub.call_at(hub.now_us() + 3600 * S, lambda: pytest.fail("cancelled")).cancel()
        hub.sleep(1)
        assert len(hub._timers) < 2_000

    hub.run(main)


def test_a_scope_cancels_every_blocking_call_until_it_is_left(hub: Hub) -> None:
    def main() -> list[str]:
        seen = []
        with hub.limit(S) as scope:
            try:
                hub.sleep(5 * S)
            except Cancelled:
                seen.append("first")
                try:
                    hub.sleep(S)  # level-triggered: still cancelled
                except Cancelled:
                    seen.append("second")
                    raise
        assert scope.caught
        assert hub.now_us() == S
        hub.sleep(S)
        return seen

    assert hub.run(main) == ["first", "second"]


def test_the_outer_scope_wins_and_the_inner_does_not_swallow_it(hub: Hub) -> None:
    def main() -> tuple[bool, bool]:
        with hub.limit(S) as outer, hub.limit(5 * S) as inner:
            hub.sleep(9 * S)
        return outer.caught, inner.caught

    assert hub.run(main) == (True, False)


def test_a_failing_child_cancels_its_siblings_and_raises_at_the_end(hub: Hub) -> None:
    ended: list[str] = []

    def sibling() -> None:
        try:
            hub.sleep(100 * S)
        finally:
            ended.append("sibling")

    def main() -> None:
        with pytest.raises(ZeroDivisionError), Nursery(hub) as nursery:
            nursery.spawn(sibling)
            nursery.spawn(lambda: (hub.sleep(S), 1 // 0))
            hub.sleep(100 * S)
        assert hub.now_us() == S
        assert ended == ["sibling"]

    hub.run(main)


def test_a_nursery_waits_for_children_that_clean_up(hub: Hub) -> None:
    steps: list[str] = []

    def slow() -> None:
        try:
            hub.sleep(100 * S)
        except Cancelled:
            steps.append("cleaned")
            raise

    def main() -> None:
        with hub.limit(S), Nursery(hub) as nursery:
            nursery.spawn(slow)
        steps.append("left")

    hub.run(main)
    assert steps == ["cleaned", "left"]


def test_an_error_of_a_background_task_is_reported_and_the_hub_goes_on(hub: Hub) -> None:
    errors: list[str] = []
    hub.on_task_error = lambda name, error: errors.append(f"{name}: {type(error).__name__}")

    def main() -> int:
        hub.spawn(lambda: 1 // 0, "loose")
        hub.sleep(S)
        return 7

    assert hub.run(main) == 7
    assert errors == ["loose: ZeroDivisionError"]


def test_a_suspended_domain_runs_nothing_and_then_catches_up(hub: Hub) -> None:
    ran: list[tuple[str, int]] = []

    def main() -> None:
        domain = Domain(hub, "process")
        hub.spawn(
            lambda: [(hub.sleep(S // 10), ran.append(("in", hub.now_us()))) for _ in range(30)],
            "w",
            domain,
        )
        hub.sleep(S)
        domain.hold(S)
        hub.sleep(3 * S)

    hub.run(main)
    times = [at for _, at in ran]
    assert len(times) == 30
    assert not [at for at in times if S < at < 2 * S]


def test_a_killed_domain_ends_at_once_whatever_it_waits_for(hub: Hub) -> None:
    alive: list[int] = []

    def main() -> None:
        domain = Domain(hub, "process")
        for _ in range(3):
            hub.spawn(
                lambda: [(hub.sleep(S), alive.append(hub.now_us())) for _ in range(9)], "w", domain
            )
        hub.sleep(S * 5 // 2)
        domain.hold(S)
        hub.sleep(S // 2)
        domain.kill()
        hub.sleep(20 * S)
        assert not domain.tasks

    hub.run(main)
    assert max(alive) < 3 * S


def test_a_channel_is_bounded_and_closes(hub: Hub) -> None:
    def main() -> list[int]:
        channel: Channel[int] = Channel(hub, 2)
        got: list[int] = []

        def take() -> None:
            while True:
                try:
                    got.append(channel.get())
                except Closed:
                    return
                hub.sleep(S)

        channel.offer(1)
        channel.offer(2)
        with pytest.raises(Full):
            channel.offer(3)
        with Nursery(hub) as nursery:
            nursery.spawn(take)
            channel.put(3)
            channel.put(4)
            channel.close()
        with pytest.raises(Closed):
            channel.offer(5)
        return got

    assert hub.run(main) == [1, 2, 3, 4]


def test_cancel_from_outside_reaches_a_task_in_a_channel(hub: Hub) -> None:
    def main() -> None:
        channel: Channel[int] = Channel(hub, 1)
        scope = CancelScope(hub)

        def wait() -> None:
            with scope:
                channel.get()

        with Nursery(hub) as nursery:
            nursery.spawn(wait)
            hub.sleep(S)
            scope.cancel()
        assert scope.caught
        channel.offer(1)
        assert channel.get() == 1

    hub.run(main)


@pytest.mark.parametrize("seed", range(5))
def test_two_runs_of_one_seed_are_alike(seed: int) -> None:
    def run() -> list[Any]:
        hub, rng = Hub(VirtualClock()), random.Random(seed)
        out: list[Any] = []

        def worker(name: int) -> Callable[[], None]:
            def body() -> None:
                for _ in range(20):
                    hub.sleep(rng.randrange(1000))
                    out.append((name, hub.now_us()))

            return body

        def main() -> None:
            with Nursery(hub) as nursery:
                for name in range(8):
                    nursery.spawn(worker(name))

        hub.run(main)
        return out

    assert run() == run()


class StepClock:
    """A clock that counts as real but advances only when a test sets it."""

    virtual = False

    def __init__(self) -> None:
        self.now = 1_000_000

    def now_us(self) -> int:
        return self.now

    def wall_us(self) -> int:
        return self.now

    def jump(self, to_us: int) -> None:
        """Do nothing, as for a real clock."""


def test_urgent_timers_and_tasks_run_before_a_long_queue_of_new_work() -> None:
    clock, order = StepClock(), list[str]()
    hub = Hub(clock)

    def main() -> None:
        signal = Signal(hub)

        def writer() -> None:
            hub.current().urgent = True
            signal.wait()
            order.append("writer")

        def work(number: int) -> None:
            order.append(f"work {number}")
            clock.now += 6_000
            if number == 0:
                signal.notify()

        hub.spawn(writer)
        hub.checkpoint()
        for number in range(6):
            hub.spawn(lambda number=number: work(number))
        hub.call_at(clock.now + 5_000, lambda: order.append("other timer"))
        hub.call_at(clock.now + 5_500, lambda: order.append("urgent timer"), urgent=True)
        while len(order) < 9:
            hub.checkpoint()

    hub.run(main)
    assert order[:3] == ["work 0", "writer", "work 1"]
    assert order.index("urgent timer") < order.index("other timer") < order.index("work 2"), order


def test_last_empty_us_is_the_latest_time_without_input() -> None:
    """Input is dated from the start of the poll before the one that found it, or from its reader's suspension."""
    for hold_us in (0, 400_000):
        hub = Hub(VirtualClock())

        def main(hub: Hub = hub, hold_us: int = hold_us) -> None:
            listener = listen(hub, "127.0.0.1", 0, lambda _: None)
            domain, seen = Domain(hub, "held"), list[tuple[int, int]]()

            def serve() -> None:
                stream = listener.accept()
                for _ in range(2):
                    stream.receive()
                    seen.append((stream.last_empty_us, hub.now_us()))

            hub.spawn(serve, "serve", domain)
            client = connect(hub, "127.0.0.1", listener.port)
            client.send(b"a")
            hub.sleep(300_000)
            begun = hub.now_us()
            if hold_us:
                domain.hold(hold_us)
                hub.sleep(hold_us // 2)
            client.send(b"b")
            hub.sleep(S)
            assert seen[1] == ((begun, begun + hold_us) if hold_us else (begun, begun))

        hub.run(main)
