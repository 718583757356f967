#!/bin/sh
# Plays the case; run after the build of the deploy file and review/build-2.sh. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. With TROUBLE=0 no machine is restarted.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
timeout 110 java -Xmx256m -cp target/review-2 LeavingReplicas "$folder/record.txt"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
