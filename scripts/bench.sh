#!/usr/bin/env bash
# Builds and runs every benchmark. Prints their lines
# "name value unit bound pass|fail"; the exit status is 1 if any failed.
# Usage: bench.sh [BENCHMARK...], such as "bench.sh consensus_benchmark".
set -uo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh >build-bench.log 2>&1 || {
  cat build-bench.log >&2
  echo "build 0 - - fail"
  exit 1
}
rm -f build-bench.log
export SB_BIN_DIR=$PWD/build/bin SB_SOURCE_DIR=$PWD
benchmarks=("$@")
((${#benchmarks[@]})) ||
  benchmarks=(consensus_benchmark policy_benchmark system_benchmark)
status=0
for benchmark in "${benchmarks[@]}"; do
  if [[ ! -x build/bin/$benchmark ]]; then
    echo "$benchmark 0 - built fail"
    status=1
    continue
  fi
  # Prints the lines as they arrive; a "fail" counts even if the benchmark
  # itself exits with status 0.
  build/bin/"$benchmark" | tee build/"$benchmark".out || status=1
  ! grep -q ' fail$' build/"$benchmark".out || status=1
done
exit "$status"
