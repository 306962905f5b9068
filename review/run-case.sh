#!/usr/bin/env bash
# Runs the case with the given number and ends every process that it started.
set -um
cd "$(dirname "$0")/.." || exit 2
export PROGRAM=target/release/merlinrudder TROUBLE="${TROUBLE:-1}"
case_program=target/review/case-$1
if [ ! -x "$PROGRAM" ] || [ ! -x "$case_program" ]; then
  echo "could not run: build the deploy file and review/build.sh first"
  exit 2
fi
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
# With job control the case is the leader of a process group, to which all its processes belong.
timeout --signal=KILL 112 "$case_program" &
group=$!
clean_up() {
  kill -KILL -- "-$group" 2>/dev/null
  rm -rf "$TMPDIR"
}
trap clean_up EXIT
trap 'exit 2' INT TERM
wait "$group"
status=$?
case $status in
  0 | 1) exit "$status" ;;
  *) exit 2 ;;
esac
