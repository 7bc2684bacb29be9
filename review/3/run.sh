#!/bin/sh
# Runs this case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
folder=$(dirname "$0")
exec sh "$folder/../common/run.sh" "$folder"
