# Sourced by run.sh of each case, with its class and its folder: starts the class with what it needs.
root=$(cd "$folder/../.." && pwd)
CASE_ROOT=$root
CASE_RECORD=$folder/record.txt
CASE_RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
CASE_TEMP=$(mktemp -d)
export CASE_ROOT CASE_RECORD CASE_RUN CASE_TEMP
finish() {
    code=$?
    if [ -f "$CASE_TEMP/pids" ]; then
        while read -r pid; do
            # Only if it is still the program that the case started there.
            if [ -r "/proc/$pid/environ" ] \
                && tr '\0' ' ' < "/proc/$pid/environ" | grep -q "CASE_TEMP=$CASE_TEMP"; then
                kill -9 "$pid"
            fi
        done < "$CASE_TEMP/pids"
    fi
    if [ "${KEEP:-0}" = 0 ]; then rm -rf "$CASE_TEMP"; else echo "kept $CASE_TEMP"; fi
    exit $code
}
trap finish EXIT
trap 'exit 2' HUP INT TERM
if [ -z "$CASE_RUN" ] || [ ! -f "$root/cli/target/mulleinlever.jar" ] \
    || [ ! -d "$root/review/target/classes-2" ]; then
    echo "not built: run the build of the deploy file and review/build-2.sh"
    exit 2
fi
timeout -k 3 115 java -XX:+UseSerialGC -Xmx512m -cp "$root/review/target/classes-2" "$class"
code=$?
# The class ends with 40 and the code, so that a failure of its own is none.
case $code in 40) exit 0 ;; 41) exit 1 ;; *) exit 2 ;; esac
