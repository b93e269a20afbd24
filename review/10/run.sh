#!/bin/sh
# Plays the case: exit 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.."
test -x .venv/bin/python || { echo "the build of the deploy file is missing"; exit 2; }
PYTHONDONTWRITEBYTECODE=1 exec .venv/bin/python review/10/play.py
