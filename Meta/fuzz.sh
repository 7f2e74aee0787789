#!/usr/bin/env bash
# Builds the fuzz targets of the readers with clang++ and runs each with a fixed seed, starting from the examples.
# Usage: Meta/fuzz.sh [RUNS]
set -euo pipefail
cd "$(dirname "$0")/.."
runs=${1:-20000}
build=build/fuzz
# Clang does not know two warnings that the main build turns off for GCC.
cmake -S . -B "$build" -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_BUILD_TYPE=Debug \
    -DCMAKE_CXX_FLAGS="-Wno-unknown-warning-option" -DCMAKE_CXX_FLAGS_DEBUG="-g1 -O1" \
    -DCYCLAMENLEDGE_SANITIZERS="address,undefined,fuzzer-no-link" -DCYCLAMENLEDGE_FUZZ=ON >/dev/null
cmake --build "$build" -j "${CYCLAMENLEDGE_JOBS:-3}" --target fuzz_catalogue fuzz_review fuzz_settings
seeds=$(mktemp -d)
trap 'rm -rf "$seeds"' EXIT
for example in examples/*/*.yaml; do
    cp "$example" "$seeds/$(echo "$example" | tr / _)"
done
for name in catalogue review settings; do
    # A corpus of an earlier run would make the run depend on more than the seed.
    rm -rf "$build/corpus/$name"
    mkdir -p "$build/corpus/$name"
    status=0
    UBSAN_OPTIONS=halt_on_error=1 "$build/Development/fuzz/fuzz_$name" -seed=20261203 -runs="$runs" -max_len=16384 \
        -timeout=10 -rss_limit_mb=2048 -print_final_stats=1 -artifact_prefix="$build/" "$build/corpus/$name" "$seeds" \
        >"$build/fuzz_$name.log" 2>&1 || status=$?
    echo "fuzz_$name: exit status $status"
    grep -E "ERROR|SUMMARY|Test unit|stat::" "$build/fuzz_$name.log" || true
    [ "$status" -eq 0 ] || exit "$status"
done
