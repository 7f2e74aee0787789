#!/usr/bin/env bash
# Guards against an exit status that lets a malformed document through a script, and against errors without a place.
set -uo pipefail
program=$1
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
expect 2
expect 2 check
expect 2 check "$folder/missing.yaml"
expect 2 unknown
[ "$failures" -eq 0 ]
