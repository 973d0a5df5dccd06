#!/usr/bin/env bash
# Starts the small fleet of the example peachtree on loopback and checks its main
# functions. Run it by `make demo`, which builds the programs first. Exits non-zero
# if a check fails.
set -euo pipefail
cd "$(dirname "$0")/.."

bin=${BIN:-bin}
standin=$bin/hemlock-standin
example_dir=examples/peachtree
host=127.0.0.1
base_port=${PORT_BASE:-17400} # the demo uses this port and the next 60
kv_address=$host:$base_port hosts_address=$host:$((base_port + 1)) weights_address=$host:$((base_port + 2))
engine_port=$((base_port + 10)) plain_port=$((base_port + 20)) # bases, plus 1 to 9 and plus 1 to 3
caller_port=$((base_port + 30)) peer_port=$((base_port + 40)) admin_port=$((base_port + 50)) # bases of the daemons' ports, plus 1 to 9
daemons=9 engines=9 plain_workers=3
domains=(dalton-a dalton-b dalton-c)
region=us-se model=kit-drafter
evacuated_domain=dalton-b # failure domain that is evacuated and restored
apply_seconds=5           # time after which a configuration change must be in effect
balancer_lag=500ms        # time for which a draining daemon still accepts requests

script=demo engine_service=drafter plain_service=orderdesk
source scripts/fleet.sh

# --- start ---

log "starting the platform, $engines engines, $plain_workers workers of orderdesk and $daemons daemons"
start_platform
start_engines
start_plain_workers
evacuated_engines=() worker_flags=()
for ((i = 1; i <= engines; i++)); do
	[[ $(failure_domain_of "$i") != "$evacuated_domain" ]] || evacuated_engines+=(--engine "$(engine_url "$i")")
done
for ((i = 1; i <= plain_workers; i++)); do
	worker_flags+=(--worker "http://$host:$((plain_port + i))")
done
start_daemons "$example_dir/fleet.ini"
log "all daemons are ready"

key=$(issue_key kit-studio)
other_key=$(issue_key backorder-notes)

# --- checks ---

log "checking a streamed and an aggregated chat"
run_check chat "${address_flags[0]}" --key "$key" --model "$model" --chat demo-stream --stream
run_check chat "${address_flags[1]}" --key "$key" --model "$model" --chat demo-plain

log "checking that a returning chat finds its cached prefix, each turn at another daemon"
run_check chat "${address_flags[@]}" --key "$key" --model "$model" --chat demo-return --turns 5 --stream --min-cached 1

log "checking that an order sent twice, to two daemons, runs once"
run_check order "${address_flags[0]}" "${address_flags[4]}" --key "$key" "${worker_flags[@]}" --idempotency-key demo-order-1

check_load_summary() { # file of a load summary; fails unless all responses were complete
	local name
	grep -E '^(sent|complete|wrong|cut_|no_response|refused_|prompt_tokens|cached_tokens|first_token_ms_p95|between_tokens_ms_p95)' "$1" | sed 's/^/demo:   /'
	for name in wrong cut_stated cut_unstated no_response; do
		[[ $(summary_field "$name" "$1") == 0 ]] || fail "$name=$(summary_field "$name" "$1") in $(basename "$1")"
	done
	! grep -E '^refused_[0-9]+_(unknown|yes|)=' "$1" || fail "a refusal lacks the verdict that the request was not executed"
	(($(summary_field complete "$1") > 0)) || fail "no request was answered"
}

count_started() { run_check sum "${evacuated_engines[@]}" --field started; }

log "checking that chats continue while $evacuated_domain is evacuated and restored"
start_process load "$standin" load "${address_flags[@]}" --key "kit-studio=$key" --key "backorder-notes=$other_key" \
	--model "$model" --workers 6 --think 20ms --count 5000 --duration 20s --seed 1
sleep 2
(($(count_started) > 0)) || fail "$evacuated_domain got no request before its evacuation"
evacuate_domain "$evacuated_domain" "demo: planned work on the power supply"
sleep "$apply_seconds"
before=$(count_started)
sleep 3
after=$(count_started)
log "requests started in $evacuated_domain: $before after its evacuation, $after 3 s later"
((before == after)) || fail "$evacuated_domain got $((after - before)) requests while evacuated"
restore_domain "$evacuated_domain"
sleep "$apply_seconds"
started_after_restoration=$(count_started)
log "requests started in $evacuated_domain after its restoration: $((started_after_restoration - after))"
((started_after_restoration > after)) || fail "$evacuated_domain got no request after its restoration"
wait "${pid_of[load]}" || fail "load generator failed"
unset "pid_of[load]"
check_load_summary "$work_dir/load.log"

log "checking that a daemon finishes its requests when it is stopped"
start_process last "$standin" load "${address_flags[0]}" --key "kit-studio=$key" --model "$model" --workers 6 --count 6 --seed 2
sleep 0.1
stop_process router-1
wait "${pid_of[last]}" || fail "load generator failed"
unset "pid_of[last]"
check_load_summary "$work_dir/last.log"
[[ $(summary_field complete "$work_dir/last.log") == 6 ]] || fail "not all of 6 requests were answered by the daemon that was stopped"

log "checking that every daemon stops on SIGTERM with exit status 0"
for ((i = 2; i <= daemons; i++)); do
	stop_process "router-$i"
done
log "checking that every fake stops too"
for name in "${!pid_of[@]}"; do
	stop_process "$name"
done
log "passed"
