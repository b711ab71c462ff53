#!/usr/bin/env bash
# Builds everything into build/ with the shared compiler cache.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_packages.sh
# Relative paths let all worktrees share cache entries.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
cmake -S . -B build -G Ninja >build-configure.log 2>&1 || {
  cat build-configure.log >&2
  exit 1
}
rm -f build-configure.log
ninja -C build "$@"
