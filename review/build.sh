#!/bin/sh
# The stand-ins are Python files that run on the environment of the deploy file's build; there is nothing else to build.
cd "$(dirname "$0")/.." || exit 1
for file in review/standins/*.py review/*/case.py; do
    .venv/bin/python -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
