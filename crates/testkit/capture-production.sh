#!/usr/bin/env bash
# Writes the fixtures of the version in production (`production` in deploy/service.toml) by running that
# version's own code on the values in `crates/testkit/capture/`, which use that version's names. The tests
# build the same values with this version's names (`crates/*/tests/fixtures/`). Not part of CI: run it after
# changing the values or the commit.
set -euo pipefail
root="$(cd "$(dirname "$0")/../.." && pwd)"
commit="$(sed -n 's/^production = "\([0-9a-f]*\)"$/\1/p' "$root/deploy/service.toml")"
[ -n "$commit" ] || { echo "no production commit in deploy/service.toml"; exit 1; }
tree="$(mktemp -d)"
trap 'git -C "$root" worktree remove --force "$tree"' EXIT
git -C "$root" worktree add --detach --force "$tree" "$commit"
example="$tree/crates/testkit/examples/capture"
mkdir -p "$example"
cp "$root/crates/testkit/capture/"*.rs "$example/"
wire="$root/crates/wire/tests/fixtures/production"
control="$root/crates/control/tests/fixtures/production"
rm -rf "$wire" "$control"
mkdir -p "$wire" "$control"
(cd "$tree" && CARGO_TARGET_DIR="$root/target/production" \
    cargo run -q --locked -p stonegw-testkit --example capture -- "$wire" "$control")
echo "captured from $commit: $(find "$wire" "$control" -type f | wc -l) files"
