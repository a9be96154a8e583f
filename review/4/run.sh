#!/bin/sh
# Plays the case. TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/stage ] && [ -x target/vanillawind ] || exit 2
exec review/bin/stage other-kind review/4
