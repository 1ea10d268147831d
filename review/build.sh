#!/bin/sh
# Builds what the scripts of the cases start. Their stand-ins are Python programs
# without dependencies, in lib/ and in the folders of the cases; they are compiled
# here only to check them. The deploy file's build makes the project's program.
cd "$(dirname "$0")/.." || exit 1
command -v python3 >/dev/null || { echo "python3 is missing"; exit 1; }
out=$(mktemp -d) || exit 1
trap 'rm -rf "$out"' EXIT
for file in review/lib/*.py review/*/case.py; do
    python3 -c 'import py_compile, sys
py_compile.compile(sys.argv[1], cfile=sys.argv[2], doraise=True)' "$file" "$out/checked.pyc" || exit 1
done
cargo build --release --locked -p tamarack-platform
