#!/usr/bin/env bash
# Builds the programs, runs a small deployment in separate processes and shows a search, a search with a frozen
# searcher, a charge sent three times to three hosts, a ticket confirmed in three failure domains, a killed
# entry host, and the time lines of one charge and one search.
set -euo pipefail
cd "$(dirname "$0")"

readonly PORT=${DEMO_PORT:-21000}
readonly DOMAINS=(addis hawassa bahirdar)
readonly SHARDS=6
readonly SEARCHERS=$((SHARDS * 2))
readonly CHARGERS=3
readonly HOSTS=6
dir=$(mktemp -d)
pids=()
declare -A pid_of

say() { printf '\n== %s\n' "$*"; }
die() {
  printf 'demo failed: %s\n' "$*"
  tail -n 5 "$dir"/*.log
  exit 1
}
finish() {
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap finish EXIT

# start runs a command in the background: start NAME COMMAND...
start() {
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pids+=($!)
  pid_of[$name]=$!
}

# await retries a command until it succeeds or the time is up: await SECONDS COMMAND...
await() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -lt $end ] || return 1
    sleep 0.1
  done
}

listening() { (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

searcher_port() { echo $((PORT + 100 + $1)); }
control_port() { echo $((PORT + 200 + $1)); }
caller_addr() { echo "127.0.0.1:$((PORT + 300 + $1))"; }
peer_addr() { echo "127.0.0.1:$((PORT + 400 + $1))"; }
operator_addr() { echo "127.0.0.1:$((PORT + 500 + $1))"; }
domain() { echo "${DOMAINS[$(($1 % 3))]}"; }

# searcher_json prints one searcher of a ticket: searcher_json NUMBER CONNECTIONS CONNECT_MS
searcher_json() {
  printf '"s%d":{"addr":"127.0.0.1:%d","domain":"%s","slots":2,"connections":%d,"connectMs":%d}' \
    "$1" "$(searcher_port "$1")" "$(domain "$1")" "$2" "$3"
}

# services prints the services of a ticket: services INDEX_VERSION
services() {
  local i shards="" searchers="" sep="" chargers="" replicas=""
  for ((i = 0; i < SHARDS; i++)); do
    shards+="$sep{\"id\":$i,\"from\":$((65536 * i / SHARDS)),\"to\":$((65536 * (i + 1) / SHARDS)),\"searchers\":[\"s$((2 * i))\",\"s$((2 * i + 1))\"]}"
    searchers+="$sep$(searcher_json $((2 * i)) 25 6),$(searcher_json $((2 * i + 1)) 25 6)"
    sep=","
  done
  sep=""
  for ((i = SEARCHERS; i < SEARCHERS + CHARGERS; i++)); do
    chargers+="$sep$(searcher_json "$i" 100 1)"
    replicas+="$sep\"s$i\""
    sep=","
  done
  cat <<JSON
"trainer-search":{"kind":"search","preference":"latency","calendar":"ethiopia","deadlineMs":1000,"softDeadlineMs":500,"enoughCoverage":0.9,"maxHits":10,
  "index":{"version":$1,"shards":[$shards],"searchers":{$searchers}}},
"enrolment":{"kind":"charge","deadlineMs":2000,
  "index":{"version":1,"shards":[{"id":0,"from":0,"to":65536,"searchers":[$replicas]}],"searchers":{$chargers}}}
JSON
}

members() {
  local i sep=""
  printf '{"members":['
  for ((i = 0; i < HOSTS; i++)); do
    printf '%s{"id":"e%d","domain":"%s","role":"entry","status":"live","callerAddr":"%s","peerAddr":"%s","adminAddr":"%s"}' \
      "$sep" "$i" "$(domain "$i")" "$(caller_addr "$i")" "$(peer_addr "$i")" "$(operator_addr "$i")"
    sep=","
  done
  printf ']}'
}

settings() {
  printf '{"cluster":"demo","host":"e%d","domain":"%s","callersAddr":"%s","peersAddr":"%s","operatorsAddr":"%s","platform":["http://127.0.0.1:%d"],"seeds":["%s","%s"],"drain":{"graceMs":500,"deadlineMs":10000}}\n' \
    "$1" "$(domain "$1")" "$(caller_addr "$1")" "$(peer_addr "$1")" "$(operator_addr "$1")" "$PORT" "$(peer_addr 0)" "$(peer_addr 1)"
}

charge_runs() {
  local i
  for ((i = SEARCHERS; i < SEARCHERS + CHARGERS; i++)); do
    "$dir/standin" tell --to "127.0.0.1:$(control_port "$i")" --method GET
  done | grep -o "\"$1\":[0-9]*" | awk -F: '{n += $NF} END {print n + 0}'
}

say "build"
go build -o "$dir/yuccahinge" ./cmd/yuccahinge
go build -o "$dir/standin" ./cmd/standin

say "start the platform, $((SEARCHERS + CHARGERS)) searchers in ${#DOMAINS[@]} failure domains and $HOSTS entry hosts"
start platform "$dir/standin" platform --listen "127.0.0.1:$PORT" --control "127.0.0.1:$((PORT + 1))"
for ((i = 0; i < SEARCHERS + CHARGERS; i++)); do
  start "s$i" "$dir/standin" searcher --id "s$i" --seed "$((i + 1))" --median-ms 10 --connect-ms 6 \
    --listen "127.0.0.1:$(searcher_port "$i")" --control "127.0.0.1:$(control_port "$i")"
done
await 10 listening $((PORT + 1)) || die "the platform did not listen on port $((PORT + 1)) within 10 seconds"
printf '{"number":1,"services":{%s},"calendars":{"ethiopia":{"holidays":["2026-12-25"]}}}' "$(services 1)" >"$dir/1.json"
printf '{"number":2,"note":"holiday confirmed","calendars":{"ethiopia":{"holidays":["2026-12-05","2026-12-25"]}}}' >"$dir/2.json"
members >"$dir/members.json"
"$dir/yuccahinge" ticket check "$dir/1.json" || die "ticket 1 did not pass the check"
"$dir/standin" tell --to "127.0.0.1:$((PORT + 1))" --path /members --method PUT --file "$dir/members.json" >/dev/null
"$dir/standin" tell --to "127.0.0.1:$((PORT + 1))" --path /publish --file "$dir/1.json" >/dev/null
for ((i = 0; i < HOSTS; i++)); do
  settings "$i" >"$dir/e$i.json"
  start "e$i" "$dir/yuccahinge" serve --settings "$dir/e$i.json"
done
"$dir/yuccahinge" ticket wait 1 --platform "http://127.0.0.1:$PORT" --timeoutMs 15000 || die "ticket 1 is not in force on every host"

say "a search"
out=$("$dir/yuccahinge" search --host "$(caller_addr 0)" --service trainer-search --query broth --requestId demo-search)
echo "$out"
grep -q "coverage $SHARDS/$SHARDS" <<<"$out" || die "the first search does not cover all shards"

say "a search with searcher s0 frozen"
kill -STOP "${pid_of[s0]}"
out=$("$dir/yuccahinge" search --host "$(caller_addr 0)" --service trainer-search --query broth --requestId demo-frozen)
echo "$out"
grep -q "coverage $SHARDS/$SHARDS\|lacking shard 0" <<<"$out" || die "the answer neither covers the frozen searcher's shard nor lists it as lacking"
kill -CONT "${pid_of[s0]}"

say "a charge, sent three times to three hosts under one claim"
out=$("$dir/yuccahinge" charge --host "$(caller_addr 0)" --service enrolment --key invoice-7 --json)
echo "$out"
claim=$(grep -o '"claim":"[^"]*"' <<<"$out" | head -n 1 | cut -d'"' -f4)
for i in 1 2; do
  "$dir/yuccahinge" charge --host "$(caller_addr "$i")" --service enrolment --key invoice-7 --claim "$claim"
done
runs=$(charge_runs invoice-7)
echo "runs counted at the searchers: $runs"
[ "$runs" = 1 ] || die "the charge ran $runs times"

say "ticket 2 confirms a holiday"
"$dir/yuccahinge" ticket check "$dir/2.json" --host "$(operator_addr 0)" || die "ticket 2 did not pass the check"
"$dir/standin" tell --to "127.0.0.1:$((PORT + 1))" --path /publish --file "$dir/2.json" >/dev/null
"$dir/yuccahinge" ticket wait 2 --platform "http://127.0.0.1:$PORT" --timeoutMs 8000 || die "ticket 2 is not in force on every host"

say "entry host e5 is killed; the other hosts keep serving"
kill -KILL "${pid_of[e5]}"
out=$("$dir/yuccahinge" search --host "$(caller_addr 2)" --service trainer-search --query broth --minTicket 2 --requestId demo-killed)
echo "$out"
grep -q "coverage $SHARDS/$SHARDS" <<<"$out" || die "the search after the kill does not cover all shards"
code=0
"$dir/yuccahinge" ticket wait 2 --platform "http://127.0.0.1:$PORT" --timeoutMs 1000 || code=$?
echo "exit code $code: a listed host that can't be reached is reported as unknown"
[ "$code" = 3 ] || die "ticket wait exited with $code instead of 3 with a killed host"

say "the time line of the charge over all hosts"
"$dir/yuccahinge" timeline --platform "http://127.0.0.1:$PORT" --claim "$claim" || true

say "the time line of the search with the frozen searcher"
"$dir/yuccahinge" timeline --platform "http://127.0.0.1:$PORT" --request demo-frozen || true

say "done"
