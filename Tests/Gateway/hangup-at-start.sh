#!/usr/bin/env bash
# A gateway that gets SIGHUP before it has read its settings must start anyway.
#   hangup-at-start.sh GATEWAY
set -uo pipefail
folder="$(mktemp -d)"
trap 'rm -rf "$folder"' EXIT
# The process waits here until somebody writes the settings.
mkfifo "$folder/settings"
"$1" entry --settings "$folder/settings" 2>/dev/null &
gateway=$!
sleep 0.5
if ! kill -HUP "$gateway"; then
  echo "The gateway does not run."
  exit 1
fi
sleep 0.3
if ! kill -0 "$gateway" 2>/dev/null; then
  echo "SIGHUP has ended the process."
  exit 1
fi
kill -KILL "$gateway"
