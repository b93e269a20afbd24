"""Outlier ejection: keeps tasks off machines that several placers found faulty, up to a panic threshold.

Each placer records the outcomes of its starts (`health`), the leader decides from the reports of all placers
(`detector`), and each placer applies the ejections in its last grant (`ejections`). `docs/outliers.md` gives the
reasons and bounds.
"""
