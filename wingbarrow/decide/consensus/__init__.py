"""Raft among the voters: one replicated log of decisions (Ongaro 2014, with pre-vote and check-quorum)."""
