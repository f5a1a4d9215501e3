#!/usr/bin/env bash
# Runs every sweep of the policy bench over both workloads and draws the plots in docs/bench.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
for load in lakeshore barangay; do
  for sweep in policies switches lower faults burst; do
    "$build/bench/policy_bench" --workload="bench/workloads/$load.toml" --sweep="$sweep" --seeds="${SEEDS:-3}" \
      >"docs/bench/$load-$sweep.csv"
  done
  for column in goodput lower_in_time wasted refused; do
    "$build/bench/bench_report" --csv="docs/bench/$load-policies.csv" --column="$column" --out="docs/bench/$load-$column.svg"
  done
done
