#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are Python programs that need only the standard
# library (Python 3.9 or later), so this only checks that they can be read.
set -eu
cd "$(dirname "$0")"
for file in stand_ins_3/*.py 1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
