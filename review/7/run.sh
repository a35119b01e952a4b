#!/bin/bash
# 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/chalkgap review/standins-2/target/release/hang; do
    [ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
# A signal to this script ends the program, and with it the ingresses that it started.
trap 'kill -KILL "$child" 2>/dev/null' TERM INT HUP
review/standins-2/target/release/hang review/7 &
child=$!
wait "$child"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
