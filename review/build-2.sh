#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start, besides the build of deploy/system.toml:
# the stand-ins are Python of the standard library, so they are only checked.
set -eu
cd "$(dirname "$0")"
for file in common-2/platform_standins.py [0-9]*/run.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
python3 -B -c 'import sys; assert sys.version_info >= (3, 9), "Python 3.9 or newer is needed"'
