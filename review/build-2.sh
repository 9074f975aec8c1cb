#!/bin/sh
# The stand-ins of the cases are Python sources, so there is nothing to build: checks the interpreter and the sources.
set -e
cd "$(dirname "$0")"
python3 -B -c '
import ast, glob, sys
assert sys.version_info >= (3, 11), sys.version
for source in glob.glob("standins/*.py") + glob.glob("[0-9]*/*.py"):
    ast.parse(open(source).read(), source)
'
