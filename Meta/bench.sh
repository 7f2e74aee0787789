#!/usr/bin/env bash
# Builds and runs the admission benchmarks, and rewrites their section of docs/measurements.md and the plots.
# Usage: Meta/bench.sh [SEED]
set -euo pipefail
cd "$(dirname "$0")/.."
seed=${1:-1}
cmake --preset release >/dev/null
cmake --build --preset release -j "${CYCLAMENLEDGE_JOBS:-4}" --target policy_bench decision_bench >/dev/null
output=build/release/bench
mkdir -p "$output" docs/plots
build/release/Development/policy_bench/policy_bench --seed "$seed" --output "$output" >/dev/null
build/release/Development/decision_bench/decision_bench --benchmark_format=json >"$output/decision_bench.json" 2>/dev/null
cp "$output"/*.svg docs/plots/
python3 - "$output" <<'PYTHON'
import json
import pathlib
import re
import sys

folder = pathlib.Path(sys.argv[1])
section = (folder / "admission.md").read_text().rstrip() + "\n\n### Plots\n\n"
for user in ("vatuloa", "fjordvinge"):
    section += f"![{user}, goodput](plots/admission_goodput_{user}.svg)\n![{user}, gap](plots/admission_gap_{user}.svg)\n"
section += "\n### Cost of a decision\n\n`Development/decision_bench`, one core of this machine.\n\n"
section += "| operation | ns | allocations |\n|---|---|---|\n"
for run in json.loads((folder / "decision_bench.json").read_text())["benchmarks"]:
    section += f"| {run['name']} | {run['cpu_time']:.0f} | {run['allocations']:.2f} |\n"
page = pathlib.Path("docs/measurements.md")
text = page.read_text() if page.exists() else "# Measurements\n"
text = re.sub(r"\n## Admission under load\n.*?(?=\n## |\Z)", "", text, flags=re.DOTALL).rstrip()
page.write_text(f"{text}\n\n{section}")
PYTHON
echo "wrote docs/measurements.md"
