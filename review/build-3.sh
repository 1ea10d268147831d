#!/usr/bin/env bash
# Builds what the scripts of this review start: the dispatcher, as the deploy file
# does, and the stand-ins, which need Python 3 and no packages.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked -p tamarack-platform
python3 - <<'PYTHON'
import glob
import sys

assert sys.version_info >= (3, 9), "the stand-ins need Python 3.9 or later"
for path in sorted(glob.glob("review/standins-3/*.py") + glob.glob("review/1[1-5]/*.py")):
    with open(path) as file:
        compile(file.read(), path, "exec")
PYTHON
