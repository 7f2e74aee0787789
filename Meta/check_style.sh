#!/usr/bin/env bash
# Checks formatting and runs clang-tidy on every source file that changed since its last clean run.
# Usage: Meta/check_style.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build/release}
mapfile -t files < <(git ls-files --cached --others --exclude-standard -- '*.cpp' '*.h' | grep -v '_generated\.h$')
clang-format --dry-run --Werror "${files[@]}"
Meta/check_awaited_arguments.py

# A source file is linted again only when it, a header, or the lint configuration has changed.
cache=${CYCLAMENLEDGE_LINT_CACHE:-$HOME/.cache/cyclamenledge-lint}
mkdir -p "$cache"
lint_one() {
    local source=$1 build=$2 cache=$3 key
    key=$( { cat .clang-tidy "$source"; g++ -std=c++20 -MM -I. -ILibraries -ITests -IDevelopment "$source" 2>/dev/null \
        | tr ' \\' '\n\n' | grep -E '^(Libraries|Services|Utilities|Development|Tests|platform)/' | sort -u | xargs -r cat; } \
        | sha256sum | cut -c1-40)
    [ -e "$cache/$key" ] && return 0
    if clang-tidy --quiet --extra-arg=-Wno-unknown-warning-option -p "$build" "$source" >"$cache/$key.log" 2>/dev/null; then
        rm -f "$cache/$key.log"
        touch "$cache/$key"
    else
        cat "$cache/$key.log"
        rm -f "$cache/$key.log"
        return 1
    fi
}
export -f lint_one
printf '%s\n' "${files[@]}" | grep '\.cpp$' | xargs -P "$(nproc)" -I{} bash -c 'lint_one "$@"' _ {} "$build" "$cache"
echo "style: clean"
