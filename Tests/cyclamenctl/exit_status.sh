#!/usr/bin/env bash
# Guards against an exit status that lets a malformed document through a script, and against errors without a place.
# Usage: exit_status.sh CYCLAMENCTL CYCLAMEN_STANDIN
set -uo pipefail
program=$1
standin=$2
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
failures=0
expect() {
    local wanted=$1
    shift
    "$program" "$@" >"$folder/output" 2>&1
    local found=$?
    if [ "$found" -ne "$wanted" ]; then
        echo "cyclamenctl $*: exit status $found, wanted $wanted"
        failures=$((failures + 1))
    fi
}
printf 'rules: 1\nrevision: x\n' >"$folder/catalogue.yaml"
printf 'a: 1\n' >"$folder/other.yaml"
expect 0 check examples/*/*.yaml
expect 0 version
expect 0 --help
expect 1 check "$folder/other.yaml"
expect 1 check examples/vatuloa/entry.yaml "$folder/catalogue.yaml"
if ! grep -qF "$folder/catalogue.yaml:2:11: revision: found 'x'; allowed: a whole number" "$folder/output"; then
    echo "the error of revision is missing"
    failures=$((failures + 1))
fi
contains() {
    if ! grep -qF -- "$1" "$folder/output"; then
        echo "the output has no: $1"
        failures=$((failures + 1))
    fi
}
# A valid catalogue with a warning still counts as valid, but not as finished.
catalogue=examples/vatuloa/catalogue.yaml
sed -e 's/^revision: 1/revision: 2/' -e 's/queue_deadline: 3 s/queue_deadline: 300 ms/' "$catalogue" >"$folder/new.yaml"
expect 1 check "$folder/new.yaml"
contains "$folder/new.yaml:189:21: service_classes[0].queue_deadline: warning: found 300 ms"
contains "$folder/new.yaml: valid catalogue"
expect 0 check --format json "$catalogue" examples/vatuloa/entry.yaml
contains '"kind":"settings","valid":true,"errors":[],"warnings":[]}]}'
expect 1 check --format json "$folder/new.yaml"
contains '"valid":true,"errors":[],"warnings":[{"line":189,"column":21,"path":"service_classes[0].queue_deadline","kind":"contradiction"'
expect 1 check --format json "$folder/catalogue.yaml"
contains '"line":2,"column":11,"path":"revision"'
expect 2 check --format json "$folder/missing.yaml"
contains '"failure":'
expect 2 check --format xml "$catalogue"
expect 0 diff "$catalogue" --against "$catalogue"
expect 0 diff "$catalogue" --against "$catalogue" --format json
contains '{"differences":[]}'
expect 1 diff "$folder/new.yaml" --against "$catalogue"
contains 'longest wait in a queue: 3000 ms -> 300 ms'
expect 1 diff "$folder/new.yaml" --against "$catalogue" --format json
contains '{"change":"changed","item":"service class","name":"kiosk","values":[{"value":"longest wait in a queue","before":"3000 ms","after":"300 ms"}]'
expect 2 diff "$catalogue"
expect 2 diff "$folder/missing.yaml" --against "$catalogue"
expect 2 diff "$catalogue" --against "$folder/catalogue.yaml"
expect 2 diff "$catalogue" --against 127.0.0.1:1
# The catalogue in force comes from the configuration service.
address=127.0.0.1:$((20000 + RANDOM % 10000))
"$standin" config --listen "$address" --catalogue "$catalogue" >"$folder/standin" 2>&1 &
service=$!
trap 'kill "$service"; rm -rf "$folder"' EXIT
for _ in $(seq 50); do
    "$program" diff "$catalogue" --against "$address" >/dev/null 2>&1 && break
    sleep 0.1
done
expect 0 diff "$catalogue" --against "$address"
expect 1 diff "$folder/new.yaml" --against "$address"
contains 'longest wait in a queue: 3000 ms -> 300 ms'
expect 2
expect 2 check
expect 2 check "$folder/missing.yaml"
expect 2 unknown
[ "$failures" -eq 0 ]
