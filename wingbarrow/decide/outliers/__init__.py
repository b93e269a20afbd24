"""Outlier ejection: machines that several placers found faulty, with a panic threshold.

Each placer observes outcomes (`health`), the leader decides from all placers' reports (`detector`), and each placer
applies the ejections that came with its last grant (`ejections`). `docs/outliers.md` gives the reasons and bounds.
"""
