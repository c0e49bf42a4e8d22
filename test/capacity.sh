#!/usr/bin/env bash
# Measures slopes that docs/CAPACITY.md is worked out from: benchmarks on one core.
# Run it on a quiet machine.
set -euo pipefail
cd "$(dirname "$0")/.."

benchtime=${BENCHTIME:-300ms}
for package in peer shard program dispatch ledger config template worker place gateway; do
	go test -run '^$' -bench . -benchmem -benchtime "$benchtime" -cpu 1 "./internal/$package" |
		grep -E '^(pkg|Benchmark)' || true
done
go test -run '^$' -bench BenchmarkCall -benchtime 3s ./internal/localcluster | grep -E '^(pkg|Benchmark)'
