#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
standin=target/review/release/review-standin
[ -x "$standin" ] || bash review/build.sh >&2 || exit 2
[ -x target/release/pondtrackd ] || { echo "build the project first, as deploy/system.toml says" >&2; exit 2; }
dir=$(mktemp -d) || exit 2
end() {
  kill -KILL "$pid" $(cat "$dir/pids" 2>/dev/null) 2>/dev/null
  rm -rf "$dir"
  exit 2
}
"$standin" token "$PWD" "$dir" "review/3/record.txt" &
pid=$!
trap end INT TERM HUP
wait "$pid"
status=$?
rm -rf "$dir"
exit "$status"
