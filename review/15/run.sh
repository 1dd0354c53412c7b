#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/chivedeal ] && [ -x target/review-3/gone ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 2 115 target/review-3/gone old "$folder" "$here/record.txt"
result=$?
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac
