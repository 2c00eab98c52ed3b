# Runs the program of a case. Sourced by each run.sh, from the folder of the case.
#   run_case PROGRAM ARGUMENTS...
# It starts the program in a process group of its own with a temporary folder, ends the group afterwards, and exits with
# the program's code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
export LC_ALL=C
ROOT=$(cd ../.. && pwd)
RECORD=$(pwd)/record.txt
RUN_COMMAND=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$ROOT/deploy/balancer.toml")
export ROOT RECORD RUN_COMMAND

run_case() {
    program=$ROOT/review/stand-2/target/release/$1
    shift
    if [ -z "$RUN_COMMAND" ] || [ ! -x "$program" ] || [ ! -x "$ROOT/target/release/myrtlegauge" ]; then
        echo "the case cannot run: build by the deploy file, then with review/build-2.sh" | tee "$RECORD"
        exit 2
    fi
    WORK=$(mktemp -d) || exit 2
    export WORK
    set -m
    "$program" "$@" &
    group=$!
    set +m
    trap 'kill -KILL -- "-$group" 2>/dev/null' EXIT INT TERM
    # No case takes longer than this.
    (
        trap - EXIT
        waited=0
        while [ "$waited" -lt 115 ] && kill -0 "$group" 2>/dev/null; do
            sleep 1
            waited=$((waited + 1))
        done
        kill -KILL -- "-$group" 2>/dev/null
    ) &
    watcher=$!
    wait "$group"
    code=$?
    kill -KILL -- "-$group" 2>/dev/null
    kill "$watcher" 2>/dev/null
    sleep 0.2
    rm -rf "$WORK"
    trap - EXIT INT TERM
    case $code in
    0 | 1) exit "$code" ;;
    *) exit 2 ;;
    esac
}
