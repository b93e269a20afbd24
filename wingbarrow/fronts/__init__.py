"""Fronts translate between a client protocol and the core; they decide nothing."""
