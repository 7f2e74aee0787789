#!/usr/bin/env bash
# Regenerates the committed FlatBuffers code. The build itself needs no generator.
set -euo pipefail
cd "$(dirname "$0")/.."
flatc --cpp --cpp-std c++17 --gen-object-api --scoped-enums -o Libraries/wire/generated Libraries/wire/wire.fbs
