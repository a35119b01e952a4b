#!/usr/bin/env bash
# A client has sent commands behind others on one connection when the ingress is restarted with SIGTERM.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=review/standins/target/release/pipelined_drain
[ -x "$program" ] || { echo "$program is missing: run review/build.sh"; exit 2; }
[ -x target/release/chalkgap ] || { echo "target/release/chalkgap is missing: build as deploy/balancer.toml says"; exit 2; }
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
"$program" "$here/record.txt" &
pid=$!
# The ingresses end with the program that started them.
trap 'kill -KILL "$pid" 2>/dev/null; rm -rf "$TMPDIR"' EXIT
trap 'exit 2' TERM INT HUP
wait "$pid"
