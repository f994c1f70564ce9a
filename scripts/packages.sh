#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -euo pipefail
apt-get update
apt-get install -y cmake ninja-build g++ clang-format clang-tidy curl \
    libboost1.81-dev libboost-log1.81-dev libboost-json1.81-dev \
    libcapnp-dev libgflags-dev libcriterion-dev libxxhash-dev libssl-dev \
    libtomlplusplus-dev
