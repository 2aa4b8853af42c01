# Shared by the cases' run.sh: a temporary folder, processes that are all ended, a configuration. To be sourced with
# $root, the repository, and $case, the folder of the case.

TROUBLE=${TROUBLE:-1}
tmp=$(mktemp -d)
record=$case/record.txt
: >"$record"
pids=

# end PID...: continues and kills processes of this case that still run.
end_all() {
	for pid in $pids; do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$tmp"
}
trap end_all EXIT
trap 'exit 2' INT TERM

# note WORD...: adds a line of the script itself to the record.
note() { echo "$(date +%s.%3N) case $*" >>"$record"; }

# cannot WORD...: ends the case as one that could not run.
cannot() {
	note "cannot run: $*"
	echo "cannot run: $*"
	exit 2
}

# run NAME COMMAND...: starts a process; its id is in $started and its output in $tmp/NAME.log.
run() {
	name=$1
	shift
	"$@" >"$tmp/$name.log" 2>&1 &
	started=$!
	pids="$pids $started"
}

free_address() { "$root/bin/standin" port; }

# await SECONDS COMMAND...: repeats a command until it succeeds.
await() {
	tries=$(($1 * 50))
	shift
	while ! "$@" >/dev/null 2>&1; do
		tries=$((tries - 1))
		[ $tries -gt 0 ] || return 1
		sleep 0.02
	done
}

recorded() { grep -q -- "$1" "$record"; }

# ask METHOD ADDRESS PATH [BODY]: one short HTTP call; prints the status.
ask() { "$root/bin/standin" call -method "$1" -target "$2" -path "$3" -body "${4:-}"; }

is_ready() { [ "$(ask GET "$1" "$2")" = 200 ]; }

# command_of KEY: a command of the deploy file.
command_of() { sed -n "s/^$1 = \"\\(.*\\)\"\$/\\1/p" "$root/deploy/balancer.toml"; }

# start_proxy NAME: starts the proxy by the run command of the deploy file, from the root, with the environment that
# the case has exported.
start_proxy() {
	command=$(command_of run)
	[ -n "$command" ] || cannot "no run command in the deploy file"
	[ -x "$root/bin/proxy" ] && [ -x "$root/bin/standin" ] || cannot "not built"
	cd "$root" || cannot "no root"
	run "$1" /bin/sh -c "$command"
}
