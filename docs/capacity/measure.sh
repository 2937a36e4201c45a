#!/usr/bin/env bash
# Makes the figures of docs/capacity/dispatcher.md again, on what is committed: about fifteen minutes on six cores.
# Nothing else should run on the machine meanwhile.
set -euo pipefail
cd "$(dirname "$0")/../.."

commit=$(git rev-parse --short HEAD)
go build -o bin/ ./cmd/...
to=(--commit "$commit" --page docs/capacity/dispatcher.md --figures docs/capacity)
for role in dispatcher member leader; do
	bin/frosttide-lab scale --role "$role" "${to[@]}"
done
bin/frosttide-lab force "${to[@]}"
bin/frosttide-lab urgent "${to[@]}"
