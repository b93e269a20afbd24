"""The command line: click sub-commands, nothing else.

`main.main` is the program's entry; `client`, `drains` and `lab` hold the sub-commands' bodies.
"""
