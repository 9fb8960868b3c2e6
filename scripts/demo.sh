#!/usr/bin/env bash
# Runs the example loads of tuul and mandacaru through three daemons and stand-ins of the platform on
# loopback, prints the reports and exits. The last line says whether any request was lost or duplicated.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/bin
dir=$(mktemp -d)
pids=()
stop() {
	for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
	for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
	rm -rf "$dir"
}
trap stop EXIT

# count prints a count of the totals in a report, which come first in the file.
count() { grep -m 1 "\"$2\":" "$1" | tr -dc '0-9'; }

key=$(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')
hash=$(printf %s "$key" | sha256sum | cut -d' ' -f1)
export IBISCRANK_OPERATOR_KEY=$key
daemons=127.0.0.1:28081,127.0.0.1:28082,127.0.0.1:28083

echo "Starting 24 stand-in backend servers and 3 daemons."
"$bin/ibisstandin" all --table 127.0.0.1:28000 --vm-list 127.0.0.1:28001 --listen-base 127.0.0.1:28100 --count 24 >"$dir/standin.log" 2>&1 &
pids+=($!)
for i in 1 2 3; do
	cat >"$dir/daemon$i.json" <<-JSON
		{"Listen": "127.0.0.1:2808$i", "PeerListen": "127.0.0.1:2809$i", "FailureDomain": "fd-$i",
		 "Table": "http://127.0.0.1:28000", "VMList": "http://127.0.0.1:28001", "OperatorKeyHash": "$hash"}
	JSON
	"$bin/ibiscrank" check "$dir/daemon$i.json" >/dev/null
	"$bin/ibiscrank" serve "$dir/daemon$i.json" >"$dir/daemon$i.log" 2>&1 &
	pids+=($!)
done

echo "Creating the teams from the answers in examples/."
flags=()
for answers in examples/*/*.json; do
	trade=$(basename "$(dirname "$answers")")
	out=$dir/$trade
	mkdir -p "$out"
	"$bin/ibiscrank" questionnaire --trade "$trade" --answers "$answers" --out "$out" --apply --daemon "$daemons" >/dev/null
	for file in "$out"/*.json; do
		team=$(basename "$file" .json)
		[ "$team" = daemon ] && continue
		issued=$("$bin/ibiscrank" key issue "$team" demo --daemon "$daemons" | sed -n 's/.*"Key": "\([^"]*\)".*/\1/p')
		flags+=("$trade:$team=$issued")
		rm "$file"
	done
done

status=0
requests=0 done=0 lost=0 duplicated=0
for trade in tuul mandacaru; do
	teams=()
	for f in "${flags[@]}"; do [ "${f%%:*}" = "$trade" ] && teams+=(--team "${f#*:}"); done
	echo
	echo "== $trade"
	"$bin/ibiscrank" load --mix "$trade" "${teams[@]}" --daemon "$daemons" --rate 60 --duration 8s --grace 10s --seed 7 \
		--history http://127.0.0.1:28001/history --report "$dir/$trade.json" || status=1
	requests=$((requests + $(count "$dir/$trade.json" Offered)))
	done=$((done + $(count "$dir/$trade.json" Done)))
	lost=$((lost + $(count "$dir/$trade.json" Lost)))
	duplicated=$((duplicated + $(count "$dir/$trade.json" Duplicated)))
done
echo
"$bin/ibiscrank" report --daemon "$daemons"
# Some requests are cancelled on purpose, but a run in which many are refused shows nothing.
[ $((done * 10)) -ge $((requests * 9)) ] || status=1
[ "$lost" -eq 0 ] && [ "$duplicated" -eq 0 ] || status=1
verdict=ok
[ "$status" -eq 0 ] || verdict=failed
echo "demo: $verdict requests=$requests lost=$lost duplicated=$duplicated"
exit "$status"
