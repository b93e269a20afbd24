"""One placer: request book, attempts, machines, list reflector, and the host of the decision module."""
