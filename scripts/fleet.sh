# Functions that start a fleet on loopback. demo.sh and measure.sh source this file
# and define the names, counts and ports that it uses.
# shellcheck shell=bash disable=SC2154

work_dir=$(mktemp -d)
declare -A pid_of=()

cleanup() {
	local status=$?
	trap - EXIT INT TERM
	stop_processes
	if ((status != 0)); then
		echo "$script: FAILED with status $status; last lines of the logs:" >&2
		tail -n 5 "$work_dir"/*.log >&2 || true
	fi
	rm -rf "$work_dir"
	exit "$status"
}
trap cleanup EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

log() { printf '%s: %s\n' "$script" "$*"; }
fail() {
	printf '%s: FAULT: %s\n' "$script" "$*" >&2
	exit 1
}

start_process() { # name, program, arguments
	local name=$1
	shift
	"$@" >"$work_dir/$name.log" 2>&1 &
	pid_of[$name]=$!
}

stop_process() { # name; fails unless the process exits with 0
	local name=$1 status=0
	kill -TERM "${pid_of[$name]}" || fail "$name exited before it was stopped"
	wait "${pid_of[$name]}" || status=$?
	unset "pid_of[$name]"
	((status == 0)) || fail "$name exited with status $status on SIGTERM"
}

stop_processes() {
	local name
	for name in "${!pid_of[@]}"; do
		kill -TERM "${pid_of[$name]}" 2>/dev/null || true
	done
	for name in "${!pid_of[@]}"; do
		wait "${pid_of[$name]}" 2>/dev/null || true
		unset "pid_of[$name]"
	done
}

run_check() { "$standin" check "$@"; }
failure_domain_of() { echo "${domains[$((($1 - 1) % ${#domains[@]}))]}"; }

# --- daemons and operators ---

render_daemon_settings() { # daemon number; prints the example's settings with this daemon's names and ports
	sed -e "s/^id = .*/id = router-$1/" \
		-e "s/^failure_domain = .*/failure_domain = $(failure_domain_of "$1")/" \
		-e "s/^callers = .*/callers = $host:$((caller_port + $1))/" \
		-e "s/^routers = .*/routers = $host:$((peer_port + $1))/" \
		-e "s/^operators = .*/operators = $host:$((admin_port + $1))/" \
		-e "s/^balancer_lag = .*/balancer_lag = $balancer_lag/" \
		-e "s|^store = .*|store = http://$kv_address|" -e "s|^hosts = .*|hosts = http://$hosts_address/hosts|" \
		"$example_dir/hemlockd.ini"
}

start_daemon() { # daemon number
	render_daemon_settings "$1" >"$work_dir/router-$1.ini"
	"$bin/hemlockd" --check "$work_dir/router-$1.ini"
	start_process "router-$1" "$bin/hemlockd" "$work_dir/router-$1.ini"
}

run_ctl() { "$bin/hemlockctl" --store "http://$kv_address" --hosts "http://$hosts_address/hosts" "$@"; }
issue_key() { run_ctl key issue "$1" --secret-file "$work_dir/secret"; } # workspace
init_config() { run_ctl config init "$1"; }                              # file of the fleet configuration
evacuate_domain() { run_ctl domain out "$1" --reason "$2"; }             # failure domain, reason
restore_domain() { run_ctl domain in "$1"; }                             # failure domain
readiness_url() { echo "http://$host:$((admin_port + $1))/readyz"; }     # daemon number

# --- host list ---

print_target() { # address, id, kind, service, model, failure domain, operators' address
	printf '{"targets":["%s"],"labels":{"id":"%s","kind":"%s","service":"%s","model":"%s","failure_domain":"%s","region":"%s","state":"live","operators":"%s"}}' \
		"$1" "$2" "$3" "$4" "$5" "$6" "$region" "${7:-}"
}

print_host_list() { # prints a host list of all engines, plain workers and daemons
	local i separator='['
	for ((i = 1; i <= engines; i++)); do
		printf '%s' "$separator"
		separator=','
		print_target "$host:$((engine_port + i))" "$engine_service-$i" engine "$engine_service" "$model" "$(failure_domain_of "$i")"
	done
	for ((i = 1; i <= plain_workers; i++)); do
		printf ','
		print_target "$host:$((plain_port + i))" "$plain_service-$i" plain "$plain_service" '' "$(failure_domain_of "$i")"
	done
	for ((i = 1; i <= daemons; i++)); do
		printf ','
		print_target "$host:$((peer_port + i))" "router-$i" router '' '' "$(failure_domain_of "$i")" "$host:$((admin_port + i))"
	done
	printf ']\n'
}

# --- processes ---

start_platform() {
	print_host_list >"$work_dir/hosts.json"
	start_process kv "$standin" kv --listen "$kv_address"
	start_process hosts "$standin" hosts --listen "$hosts_address" --file "$work_dir/hosts.json"
	start_process weights "$standin" weights --listen "$weights_address"
	run_check ready --url="http://$kv_address/calls" --url="http://$hosts_address/hosts" --url="http://$weights_address/stats"
}

engine_url() { echo "http://$host:$((engine_port + $1))"; } # engine number

start_engine() { # engine number, additional flags
	local i=$1
	shift
	start_process "$engine_service-$i" "$standin" engine --listen "$host:$((engine_port + i))" --model "$model" --weights "http://$weights_address" "$@"
}

start_engines() { # additional flags
	local i
	for ((i = 1; i <= engines; i++)); do
		start_engine "$i" "$@"
	done
	for ((i = 1; i <= engines; i++)); do
		run_check ready --url="$(engine_url "$i")/stats"
	done
}

start_plain_workers() {
	local i
	for ((i = 1; i <= plain_workers; i++)); do
		start_process "$plain_service-$i" "$standin" plain --listen "$host:$((plain_port + i))" --name "$plain_service-$i"
		run_check ready --url="http://$host:$((plain_port + i))/executions"
	done
}

# Starts the daemons, writes the first configuration and waits until all are
# ready. Sets the array address_flags to the flags with the callers' addresses.
start_daemons() { # file of the fleet configuration
	local i ready=() status=()
	address_flags=()
	for ((i = 1; i <= daemons; i++)); do
		start_daemon "$i"
		address_flags+=("--address=$host:$((caller_port + i))")
		ready+=("--url=$(readiness_url "$i")")
		status+=("--url=http://$host:$((admin_port + i))/status")
	done
	run_check ready "${status[@]}"
	init_config "$1" >"$work_dir/init.log"
	tail -n 2 "$work_dir/init.log" | sed "s/^/$script:   /"
	sed -n 's/^key_secret = //p' "$example_dir/hemlockd.ini" >"$work_dir/secret"
	run_check ready --timeout 40s "${ready[@]}"
}

summary_field() { # name, file of a load summary
	sed -n "s/^$1=//p" "$2"
}
