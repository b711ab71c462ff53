#!/usr/bin/env bash
# Plays the deployments that have to hold before a landing: a score of each, and
# a hunt for broken rules. Prints one line for each; non-zero if a gate fails or
# a rule is broken.
# Usage: scripts/play_deployments.sh BENCH SITES_DIRECTORY WHY [JOBS]
set -uo pipefail
cd "$(dirname "$0")/.."
if [[ $# -lt 3 ]]; then
  sed -n '5s/^# //p' "$0" >&2
  exit 2
fi
bench=$1
sites=$2
why=$3
jobs=${4:-3}
# Site file and days of its hunt: 40, or 8 on sites of 60 machines or more.
# The large site takes the place of the first two once its gate is passed.
readonly deployments=(
  "sites/karoo-platen 40"
  "sites/pcsc-bend 40"
  "grown/karoo-platen-grown 8"
  "grown/pcsc-bend-grown 8"
  "demands/bea-jatim-grown 8"
  "demands/magnolia-tours-grown 8"
  "large/karoo-platen-large 8"
)
failed=0
output=$(mktemp -d)
for deployment in "${deployments[@]}"; do
  read -r site days <<<"$deployment"
  name=$(basename "$site")
  "$bench" score "$sites/$site.toml" --jobs "$jobs" --why "$why" \
    >"$output/$name.score" 2>&1
  "$bench" hunt "$sites/$site.toml" --days "$days" --jobs "$jobs" \
    --why "$why" >"$output/$name.hunt" 2>&1
  score=$(grep -m1 '^score' "$output/$name.score")
  gate=$(grep -m1 '^GATE' "$output/$name.score")
  hunt=$(grep -m1 'with a rule broken' "$output/$name.hunt")
  echo "$name | ${score:-no score} | ${gate:-no gate} | ${hunt:-no hunt}"
  if [[ $gate != "GATE passed"* || $hunt != *", 0 with a rule broken"* ]]; then
    failed=1
  fi
done
echo "output: $output"
exit "$failed"
