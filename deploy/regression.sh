#!/usr/bin/env bash
# The regression runs on the association's bench: the standard days of each site
# and days with other seeds, to find broken rules. One site at a time, since a day of
# 295 machines takes about 2 GB and one to two minutes of several processors.
#   deploy/regression.sh BENCH SITES OUT
# BENCH is the bench's program, SITES the folder that holds the site folders, OUT a
# folder for what the plays print. JOBS bounds the days at the same time.
set -uo pipefail
cd "$(dirname "$0")/.."
bench=$1 sites=$2 out=$3
mkdir -p "$out"

# regress SITE DAYS: a site of 60 machines or more is hunted for 8 days, others for 40.
regress() {
	local name
	name=$(basename "$1" .toml)
	"$bench" score "$sites/$1" ${JOBS:+--jobs "$JOBS"} --why "regression: score" >"$out/$name-score.txt" 2>&1
	"$bench" hunt "$sites/$1" --days "$2" ${JOBS:+--jobs "$JOBS"} --why "regression: hunt" >"$out/$name-hunt.txt" 2>&1
	grep -hE '^(score on|GATE)|with a rule broken' "$out/$name-score.txt" "$out/$name-hunt.txt"
}

# fleet SITE: days of a thousand machines are played alone, one at a time, and neither scored nor hunted.
fleet() {
	local name day
	name=$(basename "$1" .toml)
	for day in quiet-1 scale-1 scale-2; do
		"$bench" run "$sites/$1" "$day" --day-cap 2400 --why "regression: $day" >"$out/$name-$day.txt" 2>&1
		grep -hE "^$day " "$out/$name-$day.txt"
	done
}

fleet fleet/sokohuru-serve-fleet.toml
regress demands/ctpc-grown.toml 8
regress demands/samlet-laan-grown.toml 8
regress newcomers/imirasire-bill-grown.toml 8
regress newcomers/atlas-coop-grown.toml 8
regress shifted/sokohuru-serve-now-grown.toml 8
regress large/sokohuru-serve-large.toml 8
regress large/usan-tuuh-large.toml 8
regress further/daugava-boards.toml 40
regress further-grown/daugava-boards-grown.toml 8
regress grown/sokohuru-serve-grown.toml 8
regress grown/usan-tuuh-grown.toml 8
