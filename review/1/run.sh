#!/bin/sh
# Case 1: the machine of an endpoint falls silent under a long upload. See claim.txt.
case=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$case/../.." && pwd)
. "$root/review/.standins/case.sh"
. "$root/review/.standins/settings.sh"
. "$root/review/.standins/deployment.sh"

size=31457280 # bytes of the body at most; bodies reach 32 MB
pace=4194304  # bytes a second
deadline=6            # seconds, of the class

start_endpoints 10 # one of ten falls silent: up to 11% may
start_directory
export_environment
write_config "$(settings)"
start_proxy proxy
await 10 is_ready "$listen" /ready || cannot "the proxy is not ready"
note "the proxy is ready"

run upload "$root/bin/standin" upload -target "$listen" -record "$record" -id u1 -class confirm-swap -key k1 \
	-deadline ${deadline}s -patience 10s -size "$size" -pace "$pace"
client=$started
if [ "$TROUBLE" != 0 ]; then
	await 5 recorded "head id=u1" || cannot "the upload reached no endpoint"
	sleep 0.5
	name=$(sed -n 's/.* s-\([0-9]*\) head id=u1.*/\1/p' "$record" | head -1)
	eval "kill -STOP \$endpoint_$name"
	note "s-$name falls silent"
fi
wait "$client"

grep -q "sent id=u1" "$record" || cannot "the client could not write its whole request"
after=$(sed -n 's/.* client \(answer\|no-answer\) id=u1.* after=\([0-9.]*\).*/\2/p' "$record")
if grep -q "client answer id=u1" "$record" && awk "BEGIN{exit !($after <= $deadline + 0.5 + 0.05)}"; then
	note "held: answered $after s after the last byte, of $deadline s"
	echo held
	exit 0
fi
note "broken: no final answer within $deadline s and 0.5 s after the last byte ($after s)"
echo broken
exit 1
