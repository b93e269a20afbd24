"""Outlier ejection: machines that several placers found faulty, with a panic threshold."""
