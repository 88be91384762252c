#!/bin/sh
# Installs what the build, the tests and the checks need. Debian 12 or later; run as root.
set -eu
export DEBIAN_FRONTEND=noninteractive
apt-get update -q
apt-get install -y libtbb-dev libboost1.81-dev libboost-json1.81-dev libboost-context1.81-dev libcli11-dev \
    libgoogle-glog-dev libyaml-cpp-dev doctest-dev librapidcheck-dev libbenchmark-dev libxxhash-dev libssl-dev \
    g++ cmake ninja-build clang-format clang-tidy
