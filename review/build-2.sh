#!/bin/sh
# Prepares what the scripts of the second review (review/4 to review/8) start besides the daemon in
# target/. Their stand-ins are Python programs that need only the standard library: nothing is
# compiled; this checks that they can be read.
set -eu
cd "$(dirname "$0")"
for source in lib2/*.py [4-8]/*.py; do
  if [ -f "$source" ]; then
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$source"
  fi
done
