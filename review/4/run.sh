#!/usr/bin/env bash
# TROUBLE=0: the same without the disruption. PLAY=recover.py or drain.py: the other plays of the case.
cd "$(dirname "$0")" && TROUBLE="${TROUBLE:-1}" exec timeout -k 5 110 python3 -B "${PLAY:-play.py}"
