#!/usr/bin/env bash
# Runs a case five times, and once or more without its disruption; prints the
# results. Usage: review/runs.sh N [RUNS] [RUNS_WITHOUT]
cd "$(dirname "$0")/$1" || exit 2
for ((i = 1; i <= ${2:-5}; i++)); do
  text=$(./run.sh 2>&1); echo "case $1, run $i: exit $? - $text"
done
for ((i = 1; i <= ${3:-2}; i++)); do
  text=$(TROUBLE=0 ./run.sh 2>&1); echo "case $1, TROUBLE=0, run $i: exit $? - $text"
done
