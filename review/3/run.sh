#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disturbance out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -f "$root/target/review/PoisonPart.class" ] || { echo 'run review/build.sh first' >&2; exit 2; }
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout 110 java -Xmx512m -cp "$root/target/review" PoisonPart "$root" "$folder" "$here/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
