#!/usr/bin/env bash
# Runs all tests with the race detector. Packages that measure a process run last, one at a time.
# Tests listed in KNOWN-RED.txt run after them: their results are printed, but do not affect the
# exit code.
set -euo pipefail
cd "$(dirname "$0")/.."
go=${GO:-go}

# The timers of a testing/synctest bubble share one context of the race detector, and the
# runtime may run two of them on different threads at a time, which crashes the detector
# (ThreadSanitizer: CHECK failed, or SIGSEGV). On one processor they run one after the
# other. Races are found all the same: they follow from the order of synchronisation.
one_processor=(-exec "env GOMAXPROCS=1")

# Packages that run apart from other load: their tests start a process and measure it.
apart=(./crowd)

# run_tests runs the tests of packages, given as directories, with further flags of go test.
run_tests() {
  local flags=() bubbles=() others=() package status=0 timeout=8m
  while [ "$1" != -- ]; do
    flags+=("$1")
    shift
  done
  shift
  for package; do
    # Their tests take minutes each on a busy machine.
    if [[ " ${apart[*]} " == *" $package "* ]]; then
      timeout=20m
    fi
    if grep -qsF '"testing/synctest"' "$package"/*_test.go; then
      bubbles+=("$package")
    else
      others+=("$package")
    fi
  done
  if [ ${#others[@]} -gt 0 ]; then
    "$go" test -race -timeout "$timeout" "${flags[@]}" "${others[@]}" || status=1
  fi
  if [ ${#bubbles[@]} -gt 0 ]; then
    "$go" test -race -timeout "$timeout" "${one_processor[@]}" "${flags[@]}" "${bubbles[@]}" || status=1
  fi
  return $status
}

"$go" version
listed=$(grep -c '^test:' KNOWN-RED.txt || true)
known=$(sed -n 's/^test: \([A-Za-z0-9_]*\) (\(\.\/[a-z0-9/]*\))$/\1 \2/p' KNOWN-RED.txt)
if [ "$listed" -ne "$(grep -c . <<<"$known" || true)" ]; then
  echo "KNOWN-RED.txt: a line 'test:' is not of the form 'test: NAME (./package)'" >&2
  exit 1
fi

directories=$("$go" list -f '{{.Dir}}' ./...)
mapfile -t packages < <(sed "s|^$PWD|.|" <<<"$directories")
# -skip goes by the name alone, so a listed test must be in its package and in no other.
if [ -n "$known" ]; then
  while read -r test package; do
    found=()
    for directory in "${packages[@]}"; do
      if grep -qs "^func $test(" "$directory"/*_test.go; then
        found+=("$directory")
      fi
    done
    if [ "${found[*]}" != "$package" ]; then
      echo "KNOWN-RED.txt: $test is listed for $package, but found in: ${found[*]:-no package}" >&2
      exit 1
    fi
  done <<<"$known"
fi

skip=()
if [ -n "$known" ]; then
  skip=(-skip "^($(cut -d' ' -f1 <<<"$known" | paste -sd'|'))\$")
fi
status=0
others=()
for package in "${packages[@]}"; do
  if [[ " ${apart[*]} " != *" $package "* ]]; then
    others+=("$package")
  fi
done
run_tests "${skip[@]}" -- "${others[@]}" || status=1
for package in "${apart[@]}"; do
  if [[ " ${packages[*]} " == *" $package "* ]]; then
    run_tests "${skip[@]}" -- "$package" || status=1
  fi
done

if [ -n "$known" ]; then
  echo
  echo "Known failures (KNOWN-RED.txt), run by themselves:"
  results=""
  while read -r test package; do
    if run_tests -count=1 -run "^$test\$" -- "$package" </dev/null; then
      results+="  $test ($package): passed this time"$'\n'
    else
      results+="  $test ($package): failed again, as listed"$'\n'
    fi
  done <<<"$known"
  echo
  echo "Results of the known failures, which do not count for the verdict:"
  printf '%s' "$results"
fi
if [ $status -eq 0 ]; then
  echo "All other tests passed."
else
  echo "Tests failed that are not listed in KNOWN-RED.txt."
fi
exit $status
