#!/bin/sh
# Builds the stand-ins of cases 11 to 15: Python files without dependencies,
# which are only compiled here. The node comes from the build of the deploy file.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q stage_3 1[1-5]
