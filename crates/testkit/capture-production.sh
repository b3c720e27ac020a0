#!/usr/bin/env bash
# Writes the fixtures of the version in production (`production` in deploy/service.toml). The code
# of that version encodes the values in `crates/testkit/capture/`, which use its names. The tests
# build the same values with this version's names (`crates/*/tests/fixtures/`). CI does not run this
# script: run it after a change of the values or of the production commit.
set -euo pipefail
root="$(cd "$(dirname "$0")/../.." && pwd)"
commit="$(sed -n 's/^production = "\([0-9a-f]*\)"$/\1/p' "$root/deploy/service.toml")"
[ -n "$commit" ] || { echo "deploy/service.toml names no production commit"; exit 1; }
checkout="$(mktemp -d)"
trap 'git -C "$root" worktree remove --force "$checkout"' EXIT
git -C "$root" worktree add --detach --force "$checkout" "$commit"
example="$checkout/crates/testkit/examples/capture"
mkdir -p "$example"
cp "$root/crates/testkit/capture/"*.rs "$example/"
wire_dir="$root/crates/wire/tests/fixtures/production"
control_dir="$root/crates/control/tests/fixtures/production"
rm -rf "$wire_dir" "$control_dir"
mkdir -p "$wire_dir" "$control_dir"
(cd "$checkout" && CARGO_TARGET_DIR="$root/target/production" \
    cargo run -q --locked -p stonegw-testkit --example capture -- "$wire_dir" "$control_dir")
echo "captured fixtures from $commit: $(find "$wire_dir" "$control_dir" -type f | wc -l) files"
