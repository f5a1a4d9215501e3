#!/usr/bin/env bash
# Runs all tests of a build and closes with the line "N passed, N failed".
set -uo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
export DUNEHOOK_BUILD=$build
passed=0
failed=0
known=$( [ -f KNOWN-RED.txt ] && grep -v '^#' KNOWN-RED.txt | cut -d: -f1 || true )

folders=$(mktemp -d /tmp/dunehook-tests-XXXXXX)
export DUNEHOOK_FOLDERS=$folders DUNEHOOK_KEEP=1
trap 'rm -rf "$folders"' EXIT

# show_processes: prints the end of what each process of a test wrote.
show_processes() {
  local file
  for file in "$folders"/*/*.out "$folders"/*/*.log; do
    [ -s "$file" ] || continue
    echo "-- ${file#"$folders"/}"
    tail -n 40 "$file" | cut -c1-400
  done
}

# run PROGRAM: runs each test of a program on its own, so that one's end doesn't take others along.
run() {
  local test tests
  tests=$("$build/tests/$1" -ln) || tests=
  if [ -z "$tests" ]; then
    failed=$((failed + 1))
    echo "FAIL $1 has no tests to run"
  fi
  for test in $tests; do
    local group=${test%%.*} name=${test#*.}
    local started=$SECONDS
    if timeout 120 "$build/tests/$1" -sg "$group" -sn "$name" >"$build/test.out" 2>&1; then
      passed=$((passed + 1))
      echo "ok   $test ($((SECONDS - started)) s)"
    else
      if grep -qx "$test" <<<"$known"; then
        echo "KNOWN-RED $test"
      else
        failed=$((failed + 1))
        echo "FAIL $test"
      fi
      tail -n 40 "$build/test.out"
      show_processes
    fi
    rm -rf "$folders"/*
  done
}

# run_script FILE: takes in the tests of a script, which closes with "N passed, N failed" itself.
run_script() {
  local line
  "$1" >"$build/test.out" 2>&1 || true
  cat "$build/test.out"
  line=$(grep -E '^[0-9]+ passed, [0-9]+ failed$' "$build/test.out" | tail -n 1)
  line=${line:-0 passed, 1 failed}
  passed=$((passed + ${line%% passed*}))
  line=${line##*, }
  failed=$((failed + ${line%% failed}))
}

run_script tests/scripts/regress_test.sh
run unit_tests
run forward_tests
run integration_tests
run gateway_tests
[ -z "$known" ] || { echo "known red:"; cat KNOWN-RED.txt; }
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
