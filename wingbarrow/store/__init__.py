"""Persistent state of a voter: transactions over LMDB, each synced before it is acknowledged."""
