"""Group membership and failure detection: SWIM with Lifeguard (Das 2002, Dadgar 2018)."""
