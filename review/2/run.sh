#!/bin/sh
# Case 2: an upgrade under a long answer. See claim.txt.
case=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$case/../.." && pwd)
. "$root/review/.standins/case.sh"
. "$root/review/.standins/settings.sh"
. "$root/review/.standins/deployment.sh"

SUCCESSOR=${SUCCESSOR:-1} # SUCCESSOR=0: a planned restart, SIGTERM and SIGKILL without a second process

wait=1       # seconds from SIGTERM to the request; under 0.7 s the rule would not hold
size=2000000 # bytes of the answer; answers reach 32 MB
pace=400000  # bytes a second

start_endpoints 3
start_directory
export_environment
write_config "$(settings)"
mgmt=$(free_address)
export ROUTER_MGMT="$mgmt"
start_proxy proxy
first=$started
await 10 is_ready "$listen" /ready || cannot "the proxy is not ready"
note "the proxy is ready"

run kept "$root/bin/standin" kept -target "$listen" -record "$record" -id g -class view-roster -deadline 4s -patience 20s \
	-after "$tmp/signal" -wait ${wait}s -size $size -pace $pace
client=$started
await 5 recorded "client answer id=g-1" || cannot "the first request was not answered"
if [ "$TROUBLE" != 0 ]; then
	if [ "$SUCCESSOR" != 0 ]; then
		mgmt=$(free_address)
		export ROUTER_MGMT="$mgmt"
		start_proxy second
		await 6 is_ready "$mgmt" /ops/readiness || cannot "the second process is not ready in 6 s"
		note "the second process is ready"
	fi
	kill -TERM "$first"
	note "SIGTERM to the first process"
	touch "$tmp/signal"
	i=0
	while [ $((i += 1)) -le 37 ] && kill -0 "$first" 2>/dev/null; do
		sleep 0.1
	done
	if kill -KILL "$first" 2>/dev/null; then
		note "SIGKILL to the first process"
	else
		note "the first process has ended by itself"
	fi
else
	touch "$tmp/signal"
fi
wait "$client"

if recorded "client answer id=g-2 status=200"; then
	note "held: the answer came whole"
	echo held
	exit 0
fi
if recorded "client not-sent id=g-2" || ! recorded "client sent id=g-2" || recorded "client no-answer id=g-2" && ! recorded " run id=g-2"; then
	note "held: the connection was closed before the request, which the client sends once more on a new one"
	echo held
	exit 0
fi
if recorded "client first-bytes id=g-2 status=503"; then
	note "held: refused"
	echo held
	exit 0
fi
note "broken: $(sed -n 's/.* client \(cut-off\|no-answer\) /\1 /p' "$record")"
echo broken
exit 1
