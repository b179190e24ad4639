#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. Needs the JDK alone.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
out="$here/target/classes-2"
rm -rf "$out"
mkdir -p "$out"
javac -Xlint:all --release 17 -d "$out" "$here"/src-2/*.java
echo "built the stand-ins in review/target/classes-2"
