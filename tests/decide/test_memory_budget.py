"""Shares of the memory limit."""

from __future__ import annotations

from wingbarrow.decide.memory_budget import MAX_READ_BYTES, MIN_READ_BYTES, MemoryBudget

MIB = 1 << 20


def test_unproven_clients_leave_half_of_the_share_of_set_ups_to_owners() -> None:
    budget = MemoryBudget(32 * MIB)
    assert budget.may_open(2 * MIB - 100, 100, is_proven=False)
    assert not budget.may_open(2 * MIB - 100, 101, is_proven=False)
    assert budget.may_open(4 * MIB - 100, 100, is_proven=True)
    assert not budget.may_open(4 * MIB - 100, 101, is_proven=True)


def test_the_largest_are_closed_until_the_rest_fits() -> None:
    budget = MemoryBudget(8 * MIB)
    unsent = [("a", MIB // 2), ("b", MIB), ("c", MIB // 4), ("d", MIB // 4)]
    assert budget.connections_to_close(unsent) == ["b"]
    assert budget.connections_to_close([("a", MIB)]) == []
    assert budget.connections_to_close([("a", MIB + 1)]) == ["a"]


def test_reads_of_all_connections_together_stay_within_their_share() -> None:
    for limit_mb, connections in ((32, 112), (32, 496), (192, 496), (1024, 16)):
        read_bytes = MemoryBudget(limit_mb * MIB).read_bytes(connections)
        assert MIN_READ_BYTES <= read_bytes <= MAX_READ_BYTES
        assert read_bytes * connections <= limit_mb * MIB // 8
