#!/bin/sh
# Case 2. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
case_dir=$(cd "$(dirname "$0")" && pwd)
root=$case_dir/../..
[ -x "$root/target/release/myrtlegauge" ] && [ -x "$root/target/review/purge" ] || {
    echo "build first: the deploy file's build, then review/build.sh"
    exit 2
}
exec "$root/target/review/purge" "$case_dir" slow
