#!/usr/bin/env bash
# Runs a stand-in platform and three entry VMs of two data centres on loopback,
# applies the example resources, sends requests, takes a data centre out and
# brings it back, prints a summary and stops everything gracefully.
set -euo pipefail
cd "$(dirname "$0")/.."

. scripts/loopback.sh

work_dir=$(mktemp -d)
pids=()

callers=(10000 10001 10002)
peers=(10003 10004 10005)
# cleanup stops the processes that this script has started, by process id.
cleanup() {
  for pid in "${pids[@]}"; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  wait || true
}
trap cleanup EXIT

fail() {
  tail -n 20 "$work_dir"/*.log >&2 || true
  echo "demo: $*; logs are in $work_dir" >&2
  exit 1
}

# address NAME DC prints the address of a data centre in the ready line of the
# stand-in, for example: address log giza.
address() {
  sed -n "1s/.*\"$1\":{\([^}]*\)}.*/\1/p" "$work_dir/standin.log" | tr ',' '\n' | sed -n "s/^\"$2\":\"\(.*\)\"$/\1/p"
}

# settings VM DC CALLERS PEERS writes the settings file of an entry VM.
settings() {
  cat >"$work_dir/$1.ini" <<EOF
[vm]
id = $1
data_centre = $2

[listen]
callers = $ip:$3
peers = $ip:$4

[platform]
log_url = http://$(address log "$2")
vm_list_url = http://$(address vms "$2")

[logging]
level = info

[peers.giza]
giza-1 = $ip:${peers[0]}
giza-2 = $ip:${peers[1]}

[peers.maadi]
maadi-1 = $ip:${peers[2]}

[times]
balancer_delay = 300ms
EOF
}

# retry SECONDS COMMAND repeats a command until it succeeds.
retry() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -lt $end ] || return 1
    sleep 0.2
  done
}

# running N succeeds if N replicas of the service run.
running() {
  bin/cactusreel get services register -o json | grep -q "\"running\": *$1,"
}

# completed N succeeds if N tasks of the job have completed.
completed() {
  bin/cactusreel get jobs meal-claims -o json | grep -q "\"completed\": *$1,"
}

# requests N sends N requests to the entry VMs in turn and prints how many
# succeeded.
requests() {
  local ok=0 port code
  for i in $(seq 1 "$1"); do
    port=${callers[$((i % 3))]}
    code=$(curl -s -m 8 -o /dev/null -w '%{http_code}' "http://$ip:$port/s/register/child/$i?work=5ms&size=100") || true
    [ "$code" = 200 ] && ok=$((ok + 1))
  done
  echo "$ok"
}

# status TITLE prints the data centres, services and jobs.
status() {
  echo "--- $1"
  bin/cactusreel get datacentres
  bin/cactusreel get services
  bin/cactusreel get jobs
}

start_standin "$work_dir/standin.log" --data-centres giza,maadi --workers 6 --racks 2 \
  --entry giza/giza-1="IP:${peers[0]}" --entry giza/giza-2="IP:${peers[1]}" \
  --entry maadi/maadi-1="IP:${peers[2]}" || fail "the stand-in did not start"
pids+=("$standin_pid")

settings giza-1 giza "${callers[0]}" "${peers[0]}"
settings giza-2 giza "${callers[1]}" "${peers[1]}"
settings maadi-1 maadi "${callers[2]}" "${peers[2]}"
entries=()
for vm in giza-1 giza-2 maadi-1; do
  bin/cactusreel entry --settings "$work_dir/$vm.ini" >"$work_dir/$vm.log" 2>&1 &
  pids+=($!)
  entries+=($!)
done
export CACTUSREEL_SERVERS="http://$ip:${callers[0]},http://$ip:${callers[1]},http://$ip:${callers[2]}"
for port in "${callers[@]}"; do
  retry 10 curl -sf "http://$ip:$port/readyz" || fail "the entry VM at port $port is not ready"
done
for pid in "${pids[@]}"; do
  kill -0 "$pid" || fail "a process has ended; is a port in use?"
done

echo "--- apply examples/demo/resources.json"
bin/cactusreel apply -f examples/demo/resources.json
retry 15 running 6 || fail "the service did not start"
status "started"

before=$(requests 30)
echo "--- sign-in (POST, at most once) and its repeat with the same request id at another entry VM"
id=$(curl -s -m 5 -X POST "http://$ip:${callers[0]}/v1/request-ids" | sed 's/.*"id": *"\([^"]*\)".*/\1/')
first=$(curl -s -m 8 -X POST -H "Cactusreel-Request-Id: $id" -d 'child=17' "http://$ip:${callers[0]}/s/register/sign-in")
again=$(curl -s -m 8 -X POST -H "Cactusreel-Request-Id: $id" -d 'child=17' "http://$ip:${callers[2]}/s/register/sign-in")
echo "first answer: $first, repeat: $again"

echo "--- take maadi out"
bin/cactusreel take-out maadi
retry 20 running 6 || fail "the service was not moved out of maadi"
sleep 3
status "maadi is out"
during=$(requests 30)

echo "--- bring maadi back"
bin/cactusreel bring-back maadi
retry 30 completed 24 || fail "the job did not complete"
retry 20 running 6 || fail "the service is not complete"
status "all work done"
after=$(requests 30)

jobs=$(bin/cactusreel describe jobs meal-claims; bin/cactusreel describe jobs needs-accelerators)
echo "$jobs" | grep -q "accelerators" || fail "the pending job does not say why it waits"

echo "--- planned stop"
stopped=0
for pid in "${entries[@]}"; do
  kill -TERM "$pid"
done
for pid in "${entries[@]}"; do
  wait "$pid" && stopped=$((stopped + 1))
done

echo "--- summary"
echo "requests answered: $before of 30 before, $during of 30 with maadi out, $after of 30 after"
echo "$jobs"
echo "entry VMs stopped gracefully: $stopped of 3"
[ "$before" = 30 ] && [ "$during" = 30 ] && [ "$after" = 30 ] && [ "$first" = "$again" ] && [ "$stopped" = 3 ] || fail "the summary is not as expected"
rm -rf "$work_dir"
