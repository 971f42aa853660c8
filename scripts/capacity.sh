#!/bin/sh
# Measures how the resource costs of a fleet scale with its size; docs/CAPACITY.md
# quotes the fitted slopes. Starts fleets of several sizes on loopback, one after
# another, measures each, and stops its processes by their ids. Output goes to
# out/capacity. BIN is the directory of the binaries.
set -u
cd "$(dirname "$0")/.."

BIN=${BIN:-bin}
OUT=${OUT:-out/capacity}
SEED=${SEED:-1}
FIRST_PORT=${FIRST_PORT:-26000}
CASES=${CASES:-"routers engines workspaces load functions"}
OBSERVATIONS=$OUT/observations.jsonl
COMMIT=$(git rev-parse --short HEAD)
HOSTLIST_FLAGS=
ENGINE_SERVERS=4
INSTANCES=2

port() { echo "127.0.0.1:$((FIRST_PORT + $1))"; }

# start NAME COMMAND... starts a background process and records its id.
start() {
	name=$1
	shift
	"$@" >"$DIR/$name.log" 2>&1 &
	echo "$!" >"$DIR/$name.pid"
}

# stop_all kills the processes of a case and prints the failed phases from the
# log of measure.
stop_all() {
	[ -n "${DIR:-}" ] || return 0
	for file in "$DIR"/*.pid; do
		[ -e "$file" ] || continue
		kill -KILL "$(cat "$file")" 2>/dev/null
		rm -f "$file"
	done
	wait
	[ ! -e "$DIR/measure.log" ] || grep -h failed "$DIR/measure.log"
	return 0
}
trap 'stop_all; exit 1' INT TERM
trap stop_all EXIT

# The port offsets match internal/capacity/layout.go.
start_platform() {
	start kv "$BIN"/vt-standin kv --listen "$(port 0)"
	start hostlist "$BIN"/vt-standin hostlist --listen "$(port 1)" --hosts "$DIR/hosts.yaml" $HOSTLIST_FLAGS
	i=0
	while [ $i -lt $ENGINE_SERVERS ]; do
		start "engine-server-$i" "$BIN"/vt-standin engine --listen "$(port $((8 + i)))" --token-ms 5 --slots 4096
		i=$((i + 1))
	done
	i=0
	while [ $i -lt $INSTANCES ]; do
		start "booking-$i" "$BIN"/vt-standin service --listen "$(port $((6 + i)))" --name "booking-$i"
		i=$((i + 1))
	done
	sleep 1
}

# run_case NAME ROUTERS ENGINES WORKSPACES AGAINST PHASES
run_case() {
	DIR=$OUT/$1
	rm -rf "$DIR"
	echo "case $1: $2 routers, $3 listed engines, $4 workspaces"
	"$BIN"/vt-capacity prepare --dir "$DIR" --routers "$2" --engines "$3" --workspaces "$4" --engine-servers "$ENGINE_SERVERS" --seed "$SEED" --first-port "$FIRST_PORT" || return 1
	start_platform
	if "$BIN"/vt-capacity commit --dir "$DIR"; then
		start directory-1 "$BIN"/vt-directory --config "$DIR/directory-1.yaml"
		case $6 in *steward*) start steward-1 "$BIN"/vt-steward --config "$DIR/steward-1.yaml" ;; esac
		for settings in "$DIR"/router-*.yaml; do
			start "$(basename "$settings" .yaml)" "$BIN"/vt-router --config "$settings"
		done
		# Run in the background, because the shell handles signals only between
		# foreground commands.
		start measure "$BIN"/vt-capacity measure --dir "$DIR" --out "$OBSERVATIONS" --against "$5" --phases "$6"
		wait "$(cat "$DIR/measure.pid")"
	fi
	stop_all
}

mkdir -p "$OUT"
rm -f "$OBSERVATIONS"
for case in $CASES; do
	case $case in
	routers)
		for n in 4 8 16 32 64; do
			run_case "routers-$n" "$n" 60 100 routers start,idle,changes,lookup-cost,outage,failure
		done
		;;
	engines)
		for n in 12 60 240; do
			run_case "engines-$n" 8 "$n" 100 "listed engines" start,idle,changes,lookup-cost,steward
		done
		run_case engines-600 8 600 100 "listed engines" start,idle,changes,lookup-cost,steward,list
		HOSTLIST_FLAGS=--entity-tags
		run_case engines-600-tagged 8 600 100 "listed engines" start,list-tagged
		HOSTLIST_FLAGS=
		;;
	workspaces)
		for n in 100 3000 10000 30000; do
			run_case "workspaces-$n" 4 60 "$n" workspaces start,idle,changes
		done
		;;
	load)
		# One stand-in for each listed engine, because owners read the load reports
		# of the engines themselves.
		ENGINE_SERVERS=48
		run_case load 8 48 100 routers start,chats,actions,takeover,lookups,open
		ENGINE_SERVERS=4
		;;
	functions)
		"$BIN"/vt-capacity functions --seed "$SEED" --out "$OBSERVATIONS"
		;;
	esac
done
"$BIN"/vt-capacity report --observations "$OBSERVATIONS" --markdown "$OUT/report.md" --json "$OUT/report.json" \
	--seed "$SEED" --commit "$COMMIT" --command "make capacity SEED=$SEED"
