#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the pauses.
cd "$(dirname "$0")" || exit 2
[ -x ../../build/rainhook ] || { echo "build/rainhook is missing"; exit 2; }
PYTHONDONTWRITEBYTECODE=1 python3 run.py &
child=$!
trap 'kill "$child" 2>/dev/null' TERM INT HUP
wait "$child"
status=$?
if kill -0 "$child" 2>/dev/null; then  # a signal ended the wait: the script ends its processes first
  wait "$child"
  status=2
fi
[ "$status" -le 1 ] || exit 2
exit "$status"
