#!/bin/sh
# Links the bench's companion files beside the variants: sh link-companions.sh FOLDER, where FOLDER has them.
set -eu
[ $# -eq 1 ] || { echo "usage: $0 FOLDER" >&2; exit 2; }
from=$(cd "$1" && pwd)
cd "$(dirname "$0")"
for file in real.json wire.json unlock.txt; do
    [ -e "$from/$file" ] || { echo "$from has no $file" >&2; exit 1; }
    ln -sfn "$from/$file" "$file"
done
