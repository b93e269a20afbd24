"""`python -m wingbarrow`: the command line."""

from wingbarrow.cli.main import main

main()
