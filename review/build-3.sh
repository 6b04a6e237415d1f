#!/bin/sh
# Builds what the scripts of review/11 to review/15 start. The stand-ins are Python programs of the standard library only
# (review/standin-3), so they are only checked here; the program itself comes from the build command of the deploy file.
set -eu
cd "$(dirname "$0")/.."
test -x target/release/ragwortreel
for file in review/standin-3/*.py review/1[1-5]/*.py; do
    if [ -e "$file" ]; then
        python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
    fi
done
