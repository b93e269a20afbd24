"""Fronts translate between a client protocol and the core; they decide nothing.

`rest.RestFront` is the Kubernetes API's conventions, `instances` what placers ask of each other, `serve` the process.
"""
