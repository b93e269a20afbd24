"""The command line, built with click.

`main.main` is the entry point; `client` calls a placer; each other module holds a group of sub-commands.
"""
