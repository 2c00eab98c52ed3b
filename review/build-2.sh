#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start. Run it after the build of the deploy file.
cd "$(dirname "$0")/stand-2" || exit 2
exec cargo build --release --locked
