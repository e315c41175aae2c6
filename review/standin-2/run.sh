#!/usr/bin/env bash
# Runs a case: run.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. Ends all processes that it started.
set -uo pipefail
cd "$(dirname "$0")/../.."
case=$1 folder=$2
standin=target/review-2/standin-2
program=$(sed -n 's/^run *= *"\([^ "]*\).*/\1/p' deploy/system.toml | head -1)
for file in "$standin" "$program"; do
    [ -x "$file" ] || { echo "could not run: $file is missing"; exit 2; }
done
directory=$(mktemp -d)
set -m # The stand-in and the instances that it starts are one process group.
"$standin" "$case" "$directory" "$folder/record.txt" &
group=$!
(sleep 115; kill -9 -- "-$group") 2>/dev/null &
watchdog=$!
disown "$watchdog"
trap 'kill -9 -- "-$group" "-$watchdog" 2>/dev/null; rm -rf "$directory"' EXIT
wait "$group"
status=$?
case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
