"""Coordination on top of the replicated log: leases of the rule set, requests to the leader, subsystems."""
