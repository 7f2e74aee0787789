#!/usr/bin/env bash
# Installs what is missing, builds, and shows one system on loopback: a streamed generation, a paid call and the state.
# Exits with status 0 when every step worked.
set -euo pipefail
cd "$(dirname "$0")/.."
./Meta/install.sh
cmake --preset release >/dev/null
cmake --build --preset release -j "${CYCLAMENLEDGE_JOBS:-$(nproc)}" --target cyclamenledged cyclamenctl cyclamen-standin
build=build/release
daemon=$build/Services/cyclamenledged/cyclamenledged
control=$build/Utilities/cyclamenctl/cyclamenctl
standin=$build/Development/standin/cyclamen-standin
folder=$(mktemp -d)
ids=()
stop_all() {
    local id
    for id in "${ids[@]}"; do kill -TERM "$id" 2>/dev/null || true; done
    for id in "${ids[@]}"; do wait "$id" 2>/dev/null || true; done
    rm -rf "$folder"
}
trap stop_all EXIT
start() {
    local name=$1
    shift
    "$@" >"$folder/$name.log" 2>&1 &
    ids+=($!)
}
fail() {
    echo "demo: $1" >&2
    tail -n 5 "$folder"/*.log >&2
    exit 1
}
# A refusal names a time to come back.
repeat_until_served() {
    local deadline=$((SECONDS + 60))
    until "$@"; do
        [ "$SECONDS" -lt "$deadline" ] || return 1
        sleep 1
    done
}
wait_for_link() {
    local target=$1 deadline=$((SECONDS + 60))
    until "$control" state --json "$entry_operators" 2>/dev/null | grep -q "\"target\":\"$target\"[^}]*\"link_up\":true"; do
        [ "$SECONDS" -lt "$deadline" ] || fail "the entry has no link to $target"
        sleep 0.1
    done
}

echo "== Checking settings and catalogues"
"$control" check examples/vatuloa/*.yaml examples/fjordvinge/*.yaml || fail "the examples are invalid"
"$control" diff examples/vatuloa/catalogue.yaml --against examples/vatuloa/catalogue.yaml ||
    fail "a catalogue differs from itself"

entry_callers=127.1.1.100:21111
entry_operators=127.1.1.100:21121
key=vatuloa-suva-kiosk-1
start engine "$standin" engine --listen 127.1.1.1:21301
start agent "$daemon" --config examples/vatuloa/agent.yaml
start entry "$daemon" --config examples/vatuloa/entry.yaml
# All published entries run, because each one gives out the credit of the organisations whose home it is.
for place in labasa:127.1.2.100:2 lakeba:127.1.3.100:3; do
    IFS=: read -r name address number <<<"$place"
    sed -e "s/suva/$name/g" -e "s/127.1.1.100/$address/g" -e "s/211\\([0-2]\\)1/211\\1$number/g" \
        examples/vatuloa/entry.yaml >"$folder/entry-$name.yaml"
    start "entry-$name" "$daemon" --config "$folder/entry-$name.yaml"
done
wait_for_link wording-suva-1

echo "== A streamed generation"
repeat_until_served "$control" call "$entry_callers" --key "$key" --service wording --prompt "candle length=40 " || fail "the generation failed"

echo "== A paid call"
if "$standin" --help | grep -qw service; then
    # Every published key owner runs, since the key decides which one serves the call.
    number=0
    for target in suva:127.1.1.13:21013 labasa:127.1.2.14:21014 lakeba:127.1.3.15:21015; do
        number=$((number + 1))
        IFS=: read -r place address port <<<"$target"
        start "service-$place" "$standin" service --listen "$address:$((port + 300))"
        sed -e "s/^name: .*/name: orders-$place-1/" -e "s/^failure_domain: .*/failure_domain: $place-a/" \
            -e "s/^vm: .*/vm: vm-$place-a-orders-1/" -e "s/^peer_address: .*/peer_address: \"$address:$port\"/" \
            -e "s/^operator_address: .*/operator_address: \"$address:$((port + 200))\"/" \
            -e "s/^target_address: .*/target_address: \"$address:$((port + 300))\"/" \
            examples/vatuloa/agent.yaml >"$folder/$place.yaml"
        start "agent-$place" "$daemon" --config "$folder/$place.yaml"
    done
    for place in suva labasa lakeba; do wait_for_link "orders-$place-1"; done
    # A new agent runs no key for 30 s, and never one that was created before it can exclude an earlier incarnation.
    echo "waiting 31 s until the new key tables take calls"
    sleep 31
    # UUIDv7: the creation time in milliseconds, then random bits.
    idempotency_key=$(python3 -c 'import secrets, time, uuid
bits = (int(time.time() * 1000) << 80) | (7 << 76) | (secrets.randbits(12) << 64) | (2 << 62) | secrets.randbits(62)
print(uuid.UUID(int=bits))')
    repeat_until_served "$control" call "$entry_callers" --key "$key" --service orders --path /payments --method POST \
        --body '{"amount":12}' --idempotency-key "$idempotency_key" || fail "the paid call failed"
else
    echo "this build has no stand-in for plain services: skipped"
fi

echo "== The state of the entry"
"$control" state "$entry_operators" || fail "no state"
echo "== Why a target is chosen"
"$control" explain "$entry_operators" --organisation "$key" --service wording || fail "no explanation"

trap - EXIT
failed=0
for id in "${ids[@]}"; do kill -TERM "$id"; done
for id in "${ids[@]}"; do wait "$id" || failed=1; done
[ "$failed" -eq 0 ] || fail "a process did not stop with status 0"
rm -rf "$folder"
echo "demo: every step worked"
