#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f cli/target/mulleinlever.jar ] && [ -f review/out/LongValues.class ] || { echo "build first"; exit 2; }
timeout 115 java -Xmx2g -cp review/out LongValues review/2/record.txt
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
