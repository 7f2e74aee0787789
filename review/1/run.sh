#!/bin/bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
trouble=${TROUBLE:-1}
folder=$(cd "$(dirname "$0")" && pwd)
repository=$(cd "$folder/../.." && pwd)
program=$repository/review/build/case-$(basename "$folder")
[ -x "$program" ] || { echo "run review/build.sh first" >&2; exit 2; }
timeout -s KILL 115 "$program" "$repository" "$folder" "$trouble"
status=$?
[ $status -le 2 ] || status=2
exit $status
