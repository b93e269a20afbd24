"""Fronts translate between a client protocol and the core; they make no decisions.

`rest.RestFront` serves the REST API by the conventions of Kubernetes, `serve` assembles the placer process.
"""
