#!/bin/sh
# Builds the stand-ins of the scripts 6 to 10. They are Python programs of the standard library: this
# checks that the interpreter is there and that it can read them.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 9), sys.version'
for file in stand_ins_2/*.py [6-9]/case.py 10/case.py; do
    [ ! -e "$file" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
