#!/usr/bin/env bash
# Runs a stand-in platform and seven entry VMs of three data centres on
# loopback, with the sizes of the larger existing deployment. Prints the processor
# time, resident memory and transferred bytes of each entry VM over a period
# without work and over a period with services and jobs running.
#
# Usage: [CACTUSREEL=BINARY] scripts/capacity-processes.sh [SECONDS per period, default 60]
set -euo pipefail
cd "$(dirname "$0")/.."

. scripts/loopback.sh

period=${1:-60}
cactusreel=${CACTUSREEL:-bin/cactusreel}
work_dir=$(mktemp -d)
pids=()
ticks=$(getconf CLK_TCK)

# cleanup stops the processes that this script has started, by process id.
cleanup() {
  for pid in "${pids[@]}"; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  wait || true
  rm -rf "$work_dir"
}
trap cleanup EXIT

fail() {
  echo "capacity-processes: $*" >&2
  for vm in "${vms[@]}"; do tail -n 3 "$work_dir/$vm.log" >&2; done
  exit 1
}

base=10000
vms=(giza-1 giza-2 giza-3 heliopolis-1 heliopolis-2 maadi-1 maadi-2)
caller_port() { echo $((base + $1)); }
peer_port() { echo $((base + 50 + $1)); }

# address NAME DC prints the address of a data centre in the ready line of the
# stand-in, for example: address log giza.
address() {
  sed -n "1s/.*\"$1\":{\([^}]*\)}.*/\1/p" "$work_dir/standin.log" | tr ',' '\n' | sed -n "s/^\"$2\":\"\(.*\)\"$/\1/p"
}

# peers_section DC prints the settings section with the peers of a data centre.
peers_section() {
  local i
  echo "[peers.$1]"
  for i in "${!vms[@]}"; do
    [ "${vms[$i]%-*}" = "$1" ] && echo "${vms[$i]} = $ip:$(peer_port "$i")"
  done
  return 0
}

# settings INDEX writes the settings file of an entry VM.
settings() {
  local vm=${vms[$1]} dc=${vms[$1]%-*}
  {
    printf '[vm]\nid = %s\ndata_centre = %s\n' "$vm" "$dc"
    printf '[listen]\ncallers = %s\npeers = %s\n' "$ip:$(caller_port "$1")" "$ip:$(peer_port "$1")"
    printf '[platform]\nlog_url = http://%s\nvm_list_url = http://%s\n' "$(address log "$dc")" "$(address vms "$dc")"
    peers_section giza
    peers_section heliopolis
    peers_section maadi
    printf '[times]\nbalancer_delay = 300ms\n'
  } >"$work_dir/$vm.ini"
}

# retry SECONDS COMMAND repeats a command until it succeeds.
retry() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -lt $end ] || return 1
    sleep 0.5
  done
}

# sample FILE writes one line per entry VM: user and system time in clock ticks,
# resident memory in KiB, and the bytes of read and write calls, which are those
# of its sockets.
sample() {
  local pid
  for pid in "${entries[@]}"; do
    echo "$(sed 's/.*) //' "/proc/$pid/stat" | cut -d' ' -f12,13) $(awk '/^VmRSS/{print $2}' "/proc/$pid/status") $(awk '/^rchar|^wchar/{printf "%s ", $2}' "/proc/$pid/io")"
  done >"$1"
}

# measure TITLE prints a table of the differences between two samples, taken
# before and after the period.
measure() {
  sample "$work_dir/before"
  sleep "$period"
  sample "$work_dir/after"
  echo "$1, over $period s"
  echo "| entry VM | processor, % of a core | resident, MB | read, KB/s | written, KB/s |"
  echo "|---|---|---|---|---|"
  paste -d' ' <(printf '%s\n' "${vms[@]}") "$work_dir/before" "$work_dir/after" | awk -v p="$period" -v hz="$ticks" \
    '{printf "| %s | %.1f | %.1f | %.1f | %.1f |\n", $1, 100*(($7+$8)-($2+$3))/hz/p, $9*1024/1e6, ($10-$5)/p/1000, ($11-$6)/p/1000}'
}

# data_centres prints the data centres and the team as JSON.
data_centres() {
  echo '['
  for dc in giza heliopolis maadi; do
    echo "{\"kind\":\"datacentres\",\"name\":\"$dc\",\"dataCentre\":{\"inService\":true,\"cells\":4,\"drainSeconds\":120}},"
  done
  echo '{"kind":"teams","name":"registry","team":{"quota":{"milliCPU":4000000,"memoryMiB":16000000,"accelerators":0},"mayBorrow":true}}]'
}

# work_resources prints the services, jobs and weights as JSON.
work_resources() {
  echo '['
  for i in 1 2 3 4; do
    echo "{\"kind\":\"services\",\"name\":\"register-$i\",\"service\":{\"team\":\"registry\",\"taskKind\":\"web\",\"replicas\":16,\"requests\":{\"milliCPU\":4000,\"memoryMiB\":8192,\"accelerators\":0},\"targetP99Millis\":80}},"
  done
  for i in $(seq 1 12); do
    echo "{\"kind\":\"jobs\",\"name\":\"import-$i\",\"job\":{\"team\":\"registry\",\"taskKind\":\"import\",\"tasks\":400,\"requests\":{\"milliCPU\":4000,\"memoryMiB\":8192,\"accelerators\":0},\"runSeconds\":60}},"
  done
  echo '{"kind":"weights","name":"default","weights":{"tailLatency":100,"dataCentreChanges":90,"evictions":40,"throughput":30}}]'
}

# jobs_running succeeds if the first job has at least 20 running tasks.
jobs_running() {
  local n
  n=$(curl -s -m 5 "http://$ip:$(caller_port 0)/v1/jobs/import-1" | sed -n 's/.*"running": *\([0-9]*\).*/\1/p')
  [ "${n:-0}" -ge 20 ]
}

entry_flags=()
for i in "${!vms[@]}"; do
  entry_flags+=(--entry "${vms[$i]%-*}/${vms[$i]}=IP:$(peer_port "$i")")
done
start_standin "$work_dir/standin.log" --data-centres giza,heliopolis,maadi --workers 22 --racks 2 "${entry_flags[@]}" ||
  fail "the stand-in did not start"
pids+=("$standin_pid")
entries=()
for i in "${!vms[@]}"; do
  settings "$i"
  "$cactusreel" entry --settings "$work_dir/${vms[$i]}.ini" >"$work_dir/${vms[$i]}.log" 2>&1 &
  pids+=($!)
  entries+=($!)
done
export CACTUSREEL_SERVERS="http://$ip:$(caller_port 0)"
retry 20 curl -sf "http://$ip:$(caller_port 0)/readyz" || fail "the first entry VM is not ready"
data_centres | "$cactusreel" apply -f - >/dev/null
sleep 15
measure "At rest: 66 workers, 12 cells, no work"
work_resources | "$cactusreel" apply -f - >/dev/null
retry 60 jobs_running || fail "the jobs did not start"
sleep 10
measure "With work: 64 replicas, 4,800 batch tasks of 60 s"
echo "Counts at the end:"
"$cactusreel" get services
"$cactusreel" get jobs
