"""What joins the replicated log to its users: leases of the rule set, requests to the leader, sub-state machines."""
