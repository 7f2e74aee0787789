#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t packages < Meta/packages.txt
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
