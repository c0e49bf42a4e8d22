#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -x "$root/target/cloverwheeld" ] && [ -x "$root/target/standins-3" ] || { echo "build first: the build line of deploy/system.toml, then review/build-2.sh"; exit 2; }
cd "$root" && exec target/standins-3 returning "$root" "$here/record.txt"
