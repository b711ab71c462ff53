#!/usr/bin/env bash
# Checks the format of all C++ files and runs the linter on each source file.
# A source file that passed is not linted again until it, a header or
# .clang-tidy changes.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cc' '*.h')
clang-format --dry-run -Werror "${files[@]}"
cache=${SB_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/sycamorebend-lint}
mkdir -p "$cache"
headers=$(cat .clang-tidy $(printf '%s\n' "${files[@]}" | grep '\.h$') | sha256sum)
export cache headers
lint_one() {
  local stamp output
  stamp=$cache/$( (echo "$headers $1"; cat "$1") | sha256sum | cut -c1-64)
  [[ -e $stamp ]] && return 0
  # Unique name: another run may check the same file at the same time.
  output=$(mktemp "$stamp.XXXXXX")
  if clang-tidy --quiet -p build "$1" >"$output" 2>/dev/null; then
    mv "$output" "$stamp"
  else
    cat "$output"
    rm -f "$output"
    return 1
  fi
}
export -f lint_one
printf '%s\n' "${files[@]}" | grep '\.cc$' |
  xargs -P "$(nproc)" -I{} bash -c 'lint_one {}'
