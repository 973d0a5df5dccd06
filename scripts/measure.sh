#!/usr/bin/env bash
# Measures a fleet of real processes on loopback:
#
#   scripts/measure.sh DEPLOYMENT MEASURE [MODE]
#
# DEPLOYMENT is peachtree or podaljsek. MEASURE is one of
#   reuse    cache reuse while engines join, leave and flap (MODE)
#   skew     load skew across engines while one workspace surges (MODE)
#   control  control traffic, idle and under load (DAEMONS, ENGINES, CALLERS, and
#            ANSWER_WORDS for long streams, measured after SETTLE seconds)
#   planned  service while a failure domain is evacuated and restored
#   lost     service while a failure domain is killed and restarted
#   overhead latency added to a direct call, and CPU time
#   memory   resident memory, idle and with open streams
# MODE is routers, rendezvous or least-loaded. The environment variables SEED,
# DAEMONS, ENGINES, PORTS (the base port) and DOCUMENT (the file of the fleet
# configuration) override defaults. Requires curl, jq and the programs that
# `make build` builds.
set -euo pipefail
cd "$(dirname "$0")/.."

deployment=${1:?a deployment is needed} measure=${2:?a measure is needed} mode=${3:-routers}
seed=${SEED:-1}

bin=${BIN:-bin}
standin=$bin/hemlock-standin
example_dir=examples/$deployment
host=127.0.0.1
base_port=${PORTS:-21000}
kv_address=$host:$((base_port + 1)) hosts_address=$host:$((base_port + 2)) weights_address=$host:$((base_port + 3))
engine_port=$((base_port + 100)) plain_port=$((base_port + 200))
caller_port=$((base_port + 300)) peer_port=$((base_port + 400)) admin_port=$((base_port + 500))
daemons=${DAEMONS:-9} engines=${ENGINES:-9} plain_workers=3
balancer_lag=500ms
script=measure
case $deployment in
peachtree)
	domains=(dalton-a dalton-b dalton-c) region=us-se model=kit-drafter
	engine_service=drafter plain_service=orderdesk
	workspaces=(kit-studio hospitality colorway-lab showroom)
	;;
podaljsek)
	domains=(ljubljana-a ljubljana-b kranj-c) region=slo-central model=extension-sl
	engine_service=drafting-models plain_service=case-desk
	workspaces=(residence-permits university-lj institute-kranj franchise-celje)
	;;
*)
	echo "measure: unknown deployment $deployment" >&2
	exit 1
	;;
esac
affected_domain=${domains[1]} # failure domain that is evacuated or killed
source scripts/fleet.sh

# --- common ---

document=${DOCUMENT:-$example_dir/fleet.ini}
key_flags=()

start_fleet() { # engine flags; starts all processes that the mode needs
	start_platform
	start_engines "$@"
	address_flags=()
	if [[ $mode == routers ]]; then
		start_plain_workers
		start_daemons "$document"
		sleep 15 # new owners admit only the reserve at first, see section 6 of the design
	fi
	issue_keys
}

issue_keys() {
	local w
	sed -n 's/^key_secret = //p' "$example_dir/hemlockd.ini" >"$work_dir/secret"
	for w in "${workspaces[@]}"; do
		key_flags+=(--key "$w=$(run_ctl key issue "$w" --secret-file "$work_dir/secret" --generation 1)")
	done
}

start_load() { # name, mode, flags; starts a load generator in the background
	local name=$1 load_mode=$2
	shift 2
	start_process "$name" "$standin" load "${address_flags[@]}" "${key_flags[@]}" --mode "$load_mode" --hosts "http://$hosts_address/hosts" \
		--model "$model" --seed "$seed" --count 200000 "$@"
}

wait_for_load() { # name of a load generator
	wait "${pid_of[$1]}" || fail "$1: load generator failed"
	unset "pid_of[$1]"
}

print_fields() { # name of a load generator, pattern of the summary fields
	grep -E "^($2)=" "$work_dir/$1.log" | sed "s/^/$1 /"
}

set_host() { # id, state
	curl -fsS -o "$work_dir/answer" -X POST -d "{\"state\":\"$2\"}" "http://$hosts_address/hosts/$1"
}

make_cold() { # engine number; makes the engine cold without warning
	curl -fsS -o "$work_dir/answer" -X POST -d '{"cold":true}' "$(engine_url "$1")/faults"
}

kill_process() { # process name
	kill -KILL "${pid_of[$1]}"
	wait "${pid_of[$1]}" 2>/dev/null || true
	unset "pid_of[$1]"
}

set_sample_flags() { # sets the array sample_flags to the flags with the URLs of all engines
	local i
	sample_flags=()
	for ((i = 1; i <= engines; i++)); do
		sample_flags+=(--engine "$(engine_url "$i")")
	done
}

outcome_fields='sent|complete|wrong|cut_stated|cut_unstated|no_response|refused_[0-9]+_[a-z]*'

# --- cache reuse ---

change_engines() { # the same sequence of changes in every mode, 40 s
	local i
	sleep 8
	set_host "$engine_service-2" leaving
	sleep 3
	set_host "$engine_service-2" gone
	stop_process "$engine_service-2"
	engines=10
	start_engine 10 "${engine_flags[@]}"
	run_check ready --url="$(engine_url 10)/stats"
	print_host_list >"$work_dir/hosts.json"
	curl -fsS -o "$work_dir/answer" -X PUT --data-binary "@$work_dir/hosts.json" "http://$hosts_address/hosts"
	set_host "$engine_service-2" gone
	sleep 3
	for i in 1 2 3 4; do # flaps in the host list while the process keeps running
		set_host "$engine_service-4" gone
		sleep 2
		set_host "$engine_service-4" live
		sleep 2
		((i != 2)) || make_cold 6
	done
	start_engine 2 "${engine_flags[@]}"
	run_check ready --url="$(engine_url 2)/stats"
	set_host "$engine_service-2" live
	sleep 4
	kill_process "$engine_service-10"
	sleep 3
	set_host "$engine_service-10" gone
}

measure_reuse() {
	engine_flags=(--cache-tokens 40000)
	start_fleet "${engine_flags[@]}"
	start_load load "$mode" --failover --workers 27 --think 50ms --chats 40 --turns 8 --brief-words 600 --duration 45s
	[[ ${CHURN:-yes} == no ]] || change_engines
	wait_for_load load
	print_fields load "$outcome_fields|returning_.*|first_token_ms_p(50|95)"
	[[ $mode != routers ]] || print_decisions
	awk -F= '/^returning_/ { n[$1] = $2 }
		END { printf "reuse=%.4f best=%.4f\n", n["returning_cached_tokens"] / n["returning_prompt_tokens"], n["returning_best_tokens"] / n["returning_prompt_tokens"] }' "$work_dir/load.log"
}

# Prints the number of recorded routing decisions by destination and by the outcomes
# of the admission attempts that led there.
print_decisions() {
	local i j
	for ((i = 1; i <= daemons; i++)); do
		for ((j = 1; j <= engines; j++)); do
			curl -fsS "http://$host:$((admin_port + i))/explain?upstream=$engine_service-$j"
		done
	done | jq -r '.[] | "\(.request) \(.attempt) \(if .upstream == "" or .upstream == null then "refused" elif .upstream == .home then "home" else "elsewhere" end) " +
		([.steps[].outcome | sub("redirected to .*"; "redirected") | sub("refused: REASON_"; "") | sub("owner unreachable.*"; "unreachable")] | join(","))' |
		sort -u | cut -d' ' -f3- | sort | uniq -c | sort -rn | head -25 | sed 's/^/decisions/'
}

# --- skew ---

measure_skew() {
	start_fleet --between-tokens 10ms
	set_sample_flags
	start_load load "$mode" --workers 54 --think 20ms --chats 60 --turns 8 --brief-words 200 --duration 30s \
		--surge "${workspaces[1]}" --surge-at 10s --surge-for 10s --surge-workers 54 --mark 10s,20s "${sample_flags[@]}"
	wait_for_load load
	print_fields load "$outcome_fields|skew_.*|phase[0-2]_(skew_.*|complete|refused_.*)|first_token_ms_p(50|95)"
	for ((i = 1; i <= engines; i++)); do
		curl -fsS "$(engine_url "$i")/stats" | jq -r '"engine peak_load=\(.peak_load) overloads=\(.overloads)"'
	done
}

# --- control traffic ---

# Prints the sums over all daemons of the counters under control and store.
print_counters() {
	local i
	for ((i = 1; i <= daemons; i++)); do
		curl -fsS "http://$host:$((admin_port + i))/debug/vars"
	done | jq -rs 'def flat: paths(numbers) as $p | "\($p | join("."))=\(getpath($p))";
		.[].hemlock | {control, store} | flat' |
		awk -F= '{ n[$1] += $2 } END { for (k in n) print k "=" n[k] }' | sort
}

print_rates() { # label, seconds, files of the counters before and after
	awk -F= -v label="$1" -v d="$daemons" -v s="$2" 'NR == FNR { old[$1] = $2; next }
		{ r = ($2 - old[$1]) / d / s; if (r > 0.004) printf "%s %s=%.2f\n", label, $1, r }' "$3" "$4"
}

cpu_ticks() { # process name prefix; prints user plus system time in clock ticks
	local name total=0 t
	for name in "${!pid_of[@]}"; do
		[[ $name == "$1"* ]] || continue
		t=$(sed 's/.*) //' "/proc/${pid_of[$name]}/stat" | awk '{ print $12 + $13 }')
		total=$((total + t))
	done
	echo "$total"
}

print_memory() { # label; prints the resident set size of each daemon in kB
	local name
	for name in "${!pid_of[@]}"; do
		[[ $name == router-* ]] || continue
		sed -n "s/^VmRSS:[[:space:]]*\([0-9]*\) kB/$1 rss_kb=\1/p" "/proc/${pid_of[$name]}/status"
	done | sort | uniq -c | sort -rn
}

measure_control() {
	local seconds=20 before
	start_fleet
	before=$(cpu_ticks router-)
	print_counters >"$work_dir/idle-0"
	sleep "$seconds"
	print_counters >"$work_dir/idle-1"
	print_rates idle "$seconds" "$work_dir/idle-0" "$work_dir/idle-1"
	echo "idle cpu_percent_of_core=$(awk -v t=$(($(cpu_ticks router-) - before)) -v d="$daemons" -v s="$seconds" 'BEGIN { print t / d / s }')"
	print_memory idle
	start_load load routers --workers "${CALLERS:-36}" --think 50ms --chats 40 --duration "$((seconds + ${SETTLE:-3} + 3))s" \
		${ANSWER_WORDS:+--answer-words "$ANSWER_WORDS"}
	sleep "${SETTLE:-3}"
	print_counters >"$work_dir/load-0"
	sleep "$seconds"
	print_counters >"$work_dir/load-1"
	wait_for_load load
	print_rates load "$seconds" "$work_dir/load-0" "$work_dir/load-1"
	print_fields load "$outcome_fields|elapsed_ms"
}

# --- evacuation and loss of a failure domain ---

start_service_load() {
	start_load load routers --failover --workers 36 --think 50ms --chats 40 --turns 8 --brief-words 300 \
		--duration 60s --mark 15s,35s
}

print_service_result() {
	wait_for_load load
	print_fields load "$outcome_fields|returning_(cached|best|prompt)_tokens|phase[0-2]_(complete|elapsed_ms|refused_.*|cut_.*|no_response|wrong|first_token_ms_p(50|95|99)|between_tokens_ms_p95)"
}

measure_planned() {
	start_fleet
	start_service_load
	sleep 15
	evacuate_domain "$affected_domain" "measure: planned work" >"$work_dir/out.log"
	sleep 20
	restore_domain "$affected_domain" >"$work_dir/in.log"
	print_service_result
}

measure_lost() {
	local i
	start_fleet
	start_service_load
	sleep 15
	for ((i = 1; i <= engines; i++)); do
		[[ $(failure_domain_of "$i") != "$affected_domain" ]] || kill_process "$engine_service-$i"
	done
	for ((i = 1; i <= daemons; i++)); do
		[[ $(failure_domain_of "$i") != "$affected_domain" ]] || kill_process "router-$i"
	done
	sleep 20
	for ((i = 1; i <= engines; i++)); do
		[[ $(failure_domain_of "$i") != "$affected_domain" ]] || start_engine "$i"
	done
	for ((i = 1; i <= daemons; i++)); do
		[[ $(failure_domain_of "$i") != "$affected_domain" ]] || start_daemon "$i"
	done
	print_service_result
}

# --- overhead ---

print_cpu_time() { # label, load flags; prints the daemons' CPU time during the load
	local label=$1 before used
	shift
	before=$(cpu_ticks router-)
	start_load "$label" routers --workers 12 --chats 12 --brief-words 50 "$@"
	wait_for_load "$label"
	used=$(($(cpu_ticks router-) - before))
	echo "$label ticks=$used ticks_per_second=$(getconf CLK_TCK)"
	print_fields "$label" 'sent|complete|elapsed_ms'
}

start_unbounded_fleet() { # engine flags; neither the load bound nor the engines limit load
	local unbounded_config=$work_dir/loose.ini
	sed -e 's/^load_floor .*/load_floor = 1000/' -e 's/^max_load .*/max_load = 1000/' -e 's/^cold_limit .*/cold_limit = 900/' "$document" >"$unbounded_config"
	document=$unbounded_config
	start_fleet --cold-limit 1000 --max-batch 1000 --batch-factor 0 --prefill-per-token 0 "$@"
}

measure_overhead() {
	local before i
	start_unbounded_fleet
	before=$(cpu_ticks router-)
	sleep 10
	echo "idle ticks_in_10s=$(($(cpu_ticks router-) - before))"
	start_load through routers --workers 4 --chats 20 --think 20ms --brief-words 300 --duration 20s
	start_load direct rendezvous --workers 4 --chats 20 --think 20ms --brief-words 300 --duration 20s
	wait_for_load through
	wait_for_load direct
	for i in through direct; do
		print_fields "$i" 'complete|first_token_ms_p.*|between_tokens_ms_p.*'
	done
	print_cpu_time short --answer-words 5 --count 6000 --duration 60s
	print_cpu_time long --answer-words 200 --count 300 --duration 60s
}

measure_memory() {
	local streams=$((engines * 60))
	start_unbounded_fleet --between-tokens 20ms
	print_memory idle
	address_flags=("${address_flags[0]}")
	start_load streams routers --workers "$streams" --chats "$streams" --brief-words 50 --answer-words 500 --duration 2s
	sleep 6
	curl -fsS "http://$host:$((admin_port + 1))/status" | jq -r '"open open_requests=\(.open_requests) grants=\(.grants)"'
	print_memory open
	sed -n 's/^VmRSS:[[:space:]]*\([0-9]*\) kB/open router-1 rss_kb=\1/p' "/proc/${pid_of[router-1]}/status"
	wait_for_load streams
	print_fields streams "$outcome_fields"
}

log "deployment=$deployment measure=$measure mode=$mode seed=$seed daemons=$daemons engines=$engines commit=${COMMIT:-$(git rev-parse --short HEAD)} load_average=$(cut -d' ' -f1-3 /proc/loadavg | tr ' ' ,)"
"measure_$measure"
log "load_average=$(cut -d' ' -f1-3 /proc/loadavg | tr ' ' ,)"
