#!/usr/bin/env bash
# Creates symbolic links in this folder to the kit's files that a benchmark needs next to a site
# file. Git ignores the links. Usage: link.sh KIT, where KIT is the kit's folder.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
if [ $# -ne 1 ] || [ ! -d "$1" ]; then
	echo "link.sh: want the kit's folder, as ../given/kit" >&2
	exit 1
fi
from=$(cd "$1/more/mass/other" && pwd)
for file in real.json wire.json unlock.txt; do
	ln -sfn "$from/$file" "$here/$file"
done
