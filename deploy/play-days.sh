#!/usr/bin/env bash
# Plays every day of deploy/days (or those named) on one site and prints a line
# for each: what came of it, and the broken rules if there are any.
#   deploy/play-days.sh BENCH SITE [DAY.toml ...]
# JOBS days are played at the same time (default 6).
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1 site=$2
shift 2
[ $# -gt 0 ] || set -- deploy/days/*.toml
"$bench" build >/dev/null
play() {
	local output
	output=$("$1" run "$2" "$3" --why "a day of our own: $(basename "$3" .toml)" 2>&1) || true
	printf '%s\n' "$output" | grep -E "^$(basename "$3" .toml) " || printf '%s NOT PLAYED: %s\n' "$(basename "$3" .toml)" "$(printf '%s' "$output" | tail -1)"
	printf '%s\n' "$output" | grep -wE 'MIXED|UNASKED|TWICE|REFUSED|DENIED|BUDGET|GONE|CONFIG|ROUTE|DRAIN|LOST|ORDER|RECOVER|EVAC|HOME|FAILBACK|fault|starved' | sed 's/^/    /' || true
}
export -f play
printf '%s\n' "$@" | xargs -P "${JOBS:-6}" -I{} bash -c 'play "$@"' _ "$bench" "$site" {}
