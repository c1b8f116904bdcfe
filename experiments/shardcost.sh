#!/usr/bin/env bash
# Measures the CPU time and memory of one entry host per shard call, by fan-out, over real sockets
# to stand-in searchers in a process of their own. Prints a table. Usage: experiments/shardcost.sh [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."

readonly PORT=${PORT:-23000}
readonly SECONDS_EACH=${1:-8}
# Shard calls per second, that is searches per second times fan-out: the same for every fan-out.
readonly CALLS_PER_SECOND=${CALLS_PER_SECOND:-4600}
readonly PROTOCOL=${PROTOCOL:-http1}
dir=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap finish EXIT
start() {
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pids+=($!)
}
metric() { "$dir/yuccahinge" metrics --host "127.0.0.1:$((PORT + 4))" --name "$1"; }

go build -o "$dir/" ./cmd/yuccahinge ./cmd/standin ./cmd/load
printf '%8s %10s %10s %14s %14s %10s %8s\n' fanOut searches calls/s us/search us/shardCall residentMB p99ms
for fan in 20 96 230 460; do
  pids=()
  {
    printf '['
    for ((i = 0; i < fan; i++)); do
      [ "$i" = 0 ] || printf ','
      printf '{"id":"s%d","listen":"127.0.0.1:%d","slots":64,"connections":100,"connectMs":0.1,"medianMs":5,"hitsPerShard":1}' "$i" $((PORT + 10 + i))
    done
    printf ']'
  } >"$dir/searchers.json"
  {
    printf '{"number":1,"services":{"q":{"kind":"search","preference":"coverage","deadlineMs":2000,"maxHits":10,"index":{"version":1,"shards":['
    for ((i = 0; i < fan; i++)); do
      [ "$i" = 0 ] || printf ','
      printf '{"id":%d,"from":%d,"to":%d,"searchers":["s%d"]}' "$i" $((65536 * i / fan)) $((65536 * (i + 1) / fan)) "$i"
    done
    printf '],"searchers":{'
    for ((i = 0; i < fan; i++)); do
      [ "$i" = 0 ] || printf ','
      printf '"s%d":{"addr":"127.0.0.1:%d","domain":"a","slots":64,"connections":100,"protocol":"%s"}' "$i" $((PORT + 10 + i)) "$PROTOCOL"
    done
    printf '}}}}}'
  } >"$dir/ticket.json"
  printf '{"cluster":"cost","host":"e0","domain":"a","callersAddr":"127.0.0.1:%d","peersAddr":"127.0.0.1:%d","operatorsAddr":"127.0.0.1:%d","platform":["http://127.0.0.1:%d"],"drain":{"graceMs":0,"deadlineMs":1000}}' \
    $((PORT + 2)) $((PORT + 3)) $((PORT + 4)) "$PORT" >"$dir/e0.json"
  start platform "$dir/standin" platform --listen "127.0.0.1:$PORT" --control "127.0.0.1:$((PORT + 1))"
  start searchers "$dir/standin" searcher --config "$dir/searchers.json"
  until "$dir/standin" tell --to "127.0.0.1:$((PORT + 1))" --path /publish --file "$dir/ticket.json" >/dev/null 2>&1; do sleep 0.1; done
  start host "$dir/yuccahinge" serve --settings "$dir/e0.json"
  "$dir/yuccahinge" ticket wait 1 --hosts "127.0.0.1:$((PORT + 4))" --timeoutMs 10000 >/dev/null
  load() { "$dir/load" --hosts "127.0.0.1:$((PORT + 2))" --service q --rate "$1" --seconds "$2" --json; }
  rate=$((CALLS_PER_SECOND / fan))
  load "$rate" 2 >/dev/null
  before=$(metric process_cpu_seconds_total)
  out=$(load "$rate" "$SECONDS_EACH")
  after=$(metric process_cpu_seconds_total)
  resident=$(metric process_resident_memory_bytes)
  searches=$(grep -o '"searches":[0-9]*' <<<"$out" | cut -d: -f2)
  complete=$(grep -o '"complete":[0-9]*' <<<"$out" | cut -d: -f2)
  p99=$(grep -o '"p99":[0-9.]*' <<<"$out" | cut -d: -f2)
  awk -v f="$fan" -v n="$searches" -v c="$complete" -v s="$SECONDS_EACH" -v b="$before" -v a="$after" -v m="$resident" -v p="$p99" \
    'BEGIN {u = (a - b) * 1e6; printf "%8d %10d %10.0f %14.0f %14.2f %10.1f %8.1f", f, n, n * f / s, u / n, u / n / f, m / 1e6, p; if (c != n) printf "  (%d complete)", c; print ""}'
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
done
pids=()
