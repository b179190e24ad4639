#!/usr/bin/env bash
# Builds the stand-ins of the cases. Needs the JDK only, no network.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf out
mkdir -p out
javac -Xlint:none -d out src/*.java
