#!/usr/bin/env bash
# Simulates the rolling upgrades in `mixed/traces`, in which nodes of the version in production
# (`production` in deploy/service.toml) and nodes of this version run together. CI does not run this
# script, because it builds both versions. SHOW_TRACE=1 prints the event log of each trace.
set -euo pipefail
root="$(cd "$(dirname "$0")/../.." && pwd)"
mixed="$root/target/mixed"
commit="$(sed -n 's/^production = "\([0-9a-f]*\)"$/\1/p' "$root/deploy/service.toml")"
[ -n "$commit" ] || { echo "deploy/service.toml names no production commit"; exit 1; }
rm -rf "$mixed/old" "$mixed/harness"
mkdir -p "$mixed/old" "$mixed/harness/tests"
git -C "$root" archive "$commit" | tar -x -C "$mixed/old"
# The lock file distinguishes packages of the same name by their version, so the old packages need
# another version number.
sed -i 's/^version = "0\.1\.0"$/version = "0.0.1"/' "$mixed/old/Cargo.toml"
grep -q '^version = "0.0.1"$' "$mixed/old/Cargo.toml" || { echo "STALE  no version 0.1.0 in the old Cargo.toml"; exit 1; }
# The harness is the simulation of this version, with its nodes replaced by nodes of either version.
cp -r "$root/crates/testkit/src" "$mixed/harness/src"
cp "$root/crates/testkit/mixed/any_node.rs" "$root/crates/testkit/mixed/plan.rs" "$mixed/harness/src/"
cp "$root/crates/testkit/mixed/upgrades.rs" "$mixed/harness/tests/"
cp -r "$root/crates/testkit/mixed/traces" "$mixed/harness/traces"
printf 'pub mod any_node;\npub mod plan;\n' >>"$mixed/harness/src/lib.rs"
grep -rlZ 'stonegw_control::node::' "$mixed/harness/src" --include='*.rs' |
    grep -zv '/any_node\.rs$' | xargs -0 sed -i 's/stonegw_control::node::/crate::any_node::/'
grep -rq 'crate::any_node::' "$mixed/harness/src" || { echo "STALE  the simulation does not use stonegw_control::node"; exit 1; }
cat >"$mixed/harness/Cargo.toml" <<MANIFEST
[package]
name = "stonegw-testkit"
version = "0.0.0"
edition = "2021"

[workspace]

[dependencies]
old-control = { package = "stonegw-control", path = "../old/crates/control" }
old-wire = { package = "stonegw-wire", path = "../old/crates/wire" }
stonegw-control = { path = "../../../crates/control" }
stonegw-wire = { path = "../../../crates/wire" }
stonegw-constants = { path = "../../../crates/constants" }
serde = { version = "1", features = ["derive"] }
serde_json = "1"
log = "0.4"
rand = { version = "0.9", default-features = false, features = ["small_rng", "std", "os_rng"] }

[profile.dev]
opt-level = 1
MANIFEST
# With a copy of the lock file, all other packages keep their versions.
cp "$root/Cargo.lock" "$mixed/harness/Cargo.lock"
cd "$mixed/harness"
CARGO_TARGET_DIR="$mixed/target" cargo test -q --test upgrades -- --nocapture
