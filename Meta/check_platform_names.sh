#!/usr/bin/env bash
# Fails when a name of the users' platform appears outside platform/ and its tests.
set -euo pipefail
cd "$(dirname "$0")/.."
names='X-Response-Stamp|X-Not-Executed|X-Expect-Instance|X-Deadline-Ms|X-Token-Count|X-Prefix-Hash|"Resumes"|X-Kv-Backup|Kv-From|kv-range|kv-watch|kv-move|/-/|coldLeftMs|kvUsed|trafficSplit|CYCLAMENLEDGE_BOOT|Server-Limit|Server-Leaving|Store-Era|"op/|"servers/'
if git grep -nE "$names" -- Libraries Services Utilities Development; then
    echo "names of the platform outside platform/"
    exit 1
fi
echo "platform names: clean"
