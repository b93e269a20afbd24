"""The command line: click sub-commands, nothing else."""
