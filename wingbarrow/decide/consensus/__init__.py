"""Raft consensus among the voters on one replicated log (Ongaro 2014, with pre-vote and check-quorum)."""
