#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx700m -cp target/review review.LateOrder review/2
