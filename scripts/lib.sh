# Functions for scripts that run the programs on loopback. To be sourced, not executed.
#
# `work_dir` and `bin` (folder of the programs) must be set. `work_dir` gets <name>.log and <name>.pid of each process.

process_ids=()

# start NAME PROGRAM ARGUMENTS...
start() {
    local name=$1
    shift
    "$@" >"$work_dir/$name.log" 2>&1 &
    process_ids+=($!)
    echo $! >"$work_dir/$name.pid"
}

# wait_for_log NAME PATTERN: waits until a log line matches, for at most 20 seconds. Fails at once if the process exits.
wait_for_log() {
    local tries=400
    until grep -q -- "$2" "$work_dir/$1.log"; do
        tries=$((tries - 1))
        if [ "$tries" -eq 0 ] || ! kill -0 "$(cat "$work_dir/$1.pid")" 2>/dev/null; then
            echo "no '$2' in the log of $1; its last lines:" >&2
            tail -5 "$work_dir/$1.log" >&2
            return 1
        fi
        sleep 0.05
    done
}

# address_of NAME KEY: prints the address that a process logged as KEY=ip:port when it began to listen.
address_of() {
    wait_for_log "$1" program_listening
    grep -m1 program_listening "$work_dir/$1.log" | grep -o " $2=[^ ]*" | cut -d= -f2
}

# start_agent HOST DATA_CENTRE BACKEND CAPACITY
start_agent() {
    cat >"$work_dir/$1.ini" <<INI
[agent]
host = $1
data_centre = $2
listen = 127.0.0.1:0
http_listen = 127.0.0.1:0
[backend]
address = $3
capacity_pieces = $4
[log]
level = ${log_level:-info}
name = $1
INI
    start "$1" "$bin/tanager-agent" --config "$work_dir/$1.ini"
}

# start_entry HOST DATA_CENTRE REGION PLATFORM. The variable entry_settings may hold further settings.
start_entry() {
    cat >"$work_dir/$1.ini" <<INI
[entry]
host = $1
data_centre = $2
region = $3
[http]
listen = 127.0.0.1:0
[platform]
address = $4
[log]
level = ${log_level:-info}
name = $1
${entry_settings:-}
INI
    start "$1" "$bin/tanager-entry" --config "$work_dir/$1.ini"
}

# wait_ready ADDRESS: waits until /healthz returns a success status, for at most 20 seconds.
wait_ready() {
    local tries=400
    until curl -sf "http://$1/healthz" >/dev/null; do
        tries=$((tries - 1))
        [ "$tries" -gt 0 ] || { echo "$1 is not ready after 20 s: $(curl -s "http://$1/healthz")" >&2; return 1; }
        sleep 0.05
    done
}

# wait_metric ADDRESS SERIES VALUE: waits until the series has the value in /metrics, for at most 20 seconds.
wait_metric() {
    local tries=400
    until [ "$(curl -s "http://$1/metrics" | awk -v name="$2" '$1 == name { print $2 }')" = "$3" ]; do
        tries=$((tries - 1))
        [ "$tries" -gt 0 ] || { echo "$1: $2 did not become $3 within 20 s" >&2; return 1; }
        sleep 0.05
    done
}

# stop_gracefully NAME: sends SIGTERM and waits for the process. Fails unless its exit status is 0.
stop_gracefully() {
    local id
    id=$(cat "$work_dir/$1.pid")
    kill -TERM "$id"
    wait "$id"
}

# stop_all: sends SIGTERM to all processes that this script started and that still run, and waits for them.
stop_all() {
    local id
    for id in "${process_ids[@]}"; do
        kill -TERM "$id" 2>/dev/null || true
    done
    wait 2>/dev/null || true
}
