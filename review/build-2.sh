#!/bin/sh
# The stand-ins of cases 6 to 10 are Python programs (standard library only) that the scripts start themselves, so
# nothing is compiled. Fails if they cannot be run.
set -eu
cd "$(dirname "$0")"
python3 - fleet2/*.py [6-9]/*.py 10/*.py <<'PROGRAM'
import sys
import tomllib  # Python 3.11 or later
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
PROGRAM
