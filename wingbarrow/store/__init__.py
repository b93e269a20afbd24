"""What a placer has on disk that must survive it: transactions over LMDB, each synced before it counts."""
