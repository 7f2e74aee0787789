#!/usr/bin/env bash
# Installs what is missing, builds, checks style and runs every test.
# The last line printed is "N passed, N failed".
set -euo pipefail
cd "$(dirname "$0")/.."
./Meta/install.sh
export RC_PARAMS="${RC_PARAMS:-seed=20261203 max_success=${CYCLAMENLEDGE_PROPERTY_CASES:-1000}}"
echo "property tests: $RC_PARAMS"
jobs=${CYCLAMENLEDGE_JOBS:-$(nproc)}
cmake --preset release >/dev/null
cmake --build --preset release -j "$jobs"
./Meta/check_platform_names.sh
./Meta/check_style.sh build/release
python3 Meta/run_tests.py build/release "$@"
