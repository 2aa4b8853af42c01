# Starts a small deployment: discovery, endpoints, one proxy. To be sourced after case.sh and settings.sh.

# start_endpoints COUNT: endpoints s-1 to s-COUNT, all in one cell; their process ids are in $endpoint_N.
start_endpoints() {
	entries=
	i=0
	while [ $((i += 1)) -le "$1" ]; do
		address=$(free_address)
		[ -n "$address" ] || cannot "not built"
		run "s-$i" "$root/bin/standin" endpoint -name "s-$i" -listen "$address" -record "$record"
		eval "endpoint_$i=$started"
		entries="$entries${entries:+,}{\"name\":\"s-$i\",\"address\":\"$address\",\"zone\":\"north\",\"type\":\"gw-small\",\"group\":1,\"status\":\"Ready\",\"weight\":1.0,\"since_ms\":0}"
	done
	echo "{\"index\":41,\"snapshot\":true,\"endpoints\":[$entries]}" >"$tmp/list.json"
	i=0
	while [ $((i += 1)) -le "$1" ]; do
		await 5 recorded " s-$i listens" || cannot "endpoint s-$i does not listen"
	done
}

start_directory() {
	directory=$(free_address) control=$(free_address)
	run directory "$root/bin/standin" directory -listen "$directory" -control "$control" -list "$tmp/list.json" -record "$record"
	directory_pid=$started
	await 5 recorded "directory listens" || cannot "no discovery service"
}

# write_config SETTINGS: the configuration file of the proxy n1, replaced whole.
write_config() {
	echo "{\"name\":\"n1\",\"listen\":\"$listen\",\"discovery\":\"$directory\",\"seed\":\"8c1f30d27a5be964\",
 \"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":$(cat "$tmp/list.json"),\"settings\":$1}" >"$tmp/config.new"
	mv "$tmp/config.new" "$tmp/config.json"
}

# export_environment: what the proxy is told, and its private folder.
export_environment() {
	listen=$(free_address)
	mkdir -p "$tmp/private"
	export ROUTER_NAME=n1 ROUTER_LISTEN="$listen" ROUTER_DISCOVERY="$directory" ROUTER_CONFIG="$tmp/config.json" TMPDIR="$tmp/private"
}
