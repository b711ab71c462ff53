#!/usr/bin/env bash
# Builds, checks format and lint, and runs all tests. The last line is
# "N passed, N failed"; tests listed in KNOWN-RED.txt are printed apart.
set -uo pipefail
cd "$(dirname "$0")/.."
passed=0
failed=0
record() {
  if [[ $2 == 0 ]]; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    echo "FAILED: $1"
  fi
}
scripts/build.sh || { echo "FAILED: build"; echo "0 passed, 1 failed"; exit 1; }
scripts/lint.sh
record "format and lint" $?
python3 scripts/run_tests.py build KNOWN-RED.txt >build/tests.summary
status=$?
cat build/tests.summary
read -r test_passed test_failed < <(tail -n 1 build/tests.summary)
passed=$((passed + test_passed))
failed=$((failed + test_failed))
[[ $status == 0 ]] || [[ $failed != 0 ]] || failed=1
echo "$passed passed, $failed failed"
[[ $failed == 0 ]]
