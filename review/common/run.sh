#!/bin/sh
# Runs the case whose folder is named: run.sh FOLDER, with the path of its record.txt in RECORD. Exit codes: 1 if the rule
# was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$1" && pwd) || exit 2
cd "$folder/../.." || exit 2
program=target/review/case-$(basename "$folder")
if ! [ -x target/release/lanespan ] || ! [ -x "$program" ]; then
    echo "build first: the build command of deploy/balancer.toml, then review/build.sh" | tee "$RECORD" >&2
    exit 2
fi
WORK=$(mktemp -d) || exit 2
export WORK
end() {
    # The program has ended the gateway and removed this file, unless it was ended early itself.
    [ -f "$WORK/gateway.pid" ] && kill -KILL "$(cat "$WORK/gateway.pid")" 2>/dev/null
    rm -rf "$WORK"
}
trap end EXIT
trap 'exit 2' INT TERM
timeout -k 2 110 "$program"
code=$?
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
