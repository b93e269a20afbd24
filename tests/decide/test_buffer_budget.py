"""The budget of the bytes that are held for all clients."""

from __future__ import annotations

import random

from wingbarrow.decide.buffer_budget import BufferBudget


def test_the_largest_unfinished_requests_are_refused_until_the_rest_fits() -> None:
    budget = BufferBudget[str](100)
    assert budget.on_read("small", 20) == []
    assert budget.on_read("large", 60) == []
    assert budget.on_read("larger", 70) == ["larger"]
    assert budget.held_bytes == 80


def test_the_answer_that_has_waited_longest_is_broken_off_and_the_newest_is_not() -> None:
    budget = BufferBudget[str](100)
    assert budget.on_answer("first", 40) == []
    assert budget.on_answer("second", 50) == []
    assert budget.on_answer("third", 30) == ["first"]
    assert budget.on_answer("large", 150) == ["second", "third"]
    budget.on_answer_ended("third")
    assert budget.held_bytes == 150, "an answer that ends makes no other give way"
    budget.on_answer_ended("large")
    assert budget.held_bytes == 0


def test_answers_do_not_count_against_requests() -> None:
    budget = BufferBudget[str](100)
    budget.on_answer("slow", 150)
    assert budget.on_read("new", 100) == []
    budget.on_closed("slow")
    assert budget.held_bytes == 100


def test_the_sum_of_unfinished_requests_stays_within_the_budget_in_any_order() -> None:
    for seed in range(50):
        rng = random.Random(seed)
        budget = BufferBudget[int](1000)
        held: dict[int, int] = {}
        for _ in range(300):
            holder = rng.randrange(20)
            if rng.random() < 0.2:
                budget.on_closed(holder)
                held.pop(holder, None)
                continue
            held[holder] = rng.randrange(400)
            for refused in budget.on_read(holder, held[holder]):
                assert held[refused] == max(held.values()), f"seed {seed}"
                del held[refused]
            assert budget.held_bytes == sum(held.values()) <= 1000, f"seed {seed}"
