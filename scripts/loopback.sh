# Functions for scripts that run a stand-in and entry VMs on a loopback address of their
# own. The stand-in holds the address by listening on the guard port, as package loopback
# does; the entry VMs use ports from 10000 on, which the kernel chooses for no one.

guard_port=9999

# start_standin LOG ARGUMENT... starts the stand-in on an address that no other process
# holds, and sets ip and standin_pid. In the arguments, IP stands for the address. It
# fails if the stand-in is not ready within 20 s.
start_standin() {
  local log=$1 end=$((SECONDS + 20))
  shift
  while [ $SECONDS -lt $end ]; do
    ip=127.$((64 + RANDOM % 64)).$((RANDOM % 256)).$((1 + RANDOM % 254))
    bin/standin --ip "$ip" --admin "$ip:$guard_port" "${@//IP/$ip}" >"$log" 2>&1 &
    standin_pid=$!
    while kill -0 "$standin_pid" 2>/dev/null; do
      if grep -q '"admin"' "$log"; then
        return 0
      fi
      if [ $SECONDS -ge $end ]; then
        kill "$standin_pid"
      fi
      sleep 0.1
    done
    grep -q 'address already in use' "$log" || return 1
  done
  return 1
}
