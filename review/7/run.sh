#!/bin/sh
# Runs this case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build-2.sh.
case=memory
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/target/review-2/stand-in-2
if [ ! -x "$program" ] || [ ! -x "$root/target/release/lanespan" ]; then
    echo "could not run: build first, by the deploy file and review/build-2.sh"
    exit 2
fi
folder=$(mktemp -d) || exit 2

# Ends what is left of the case, also if it was interrupted.
clean_up() {
    [ -z "$stand_in" ] || kill "$stand_in" 2>/dev/null
    for file in "$folder"/*/*.pid; do
        [ ! -f "$file" ] || kill -KILL "$(cat "$file")" 2>/dev/null
    done
    rm -rf "$folder"
}
stand_in=
trap 'clean_up; exit 2' HUP INT TERM
TMPDIR=$folder timeout -k 2 110 "$program" "$case" "$here" "$root" &
stand_in=$!
wait "$stand_in"
code=$?
stand_in=
clean_up
[ "$code" -le 2 ] || code=2
exit "$code"
