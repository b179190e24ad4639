#!/bin/sh
# Runs the case; TROUBLE=0 without the disruption. See claim.txt.
folder=$(cd "$(dirname "$0")" && pwd)
class=DrainAtReturn
. "$folder/../src-2/run-case.sh"
