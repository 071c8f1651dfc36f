#!/bin/sh
# install_packages.sh FILE: installs the Debian packages listed in FILE, one per line, that are missing.
missing=""
for package in $(cat "$1"); do
    dpkg -s "$package" >/dev/null 2>&1 || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
echo "installing:$missing"
sudo=""
[ "$(id -u)" = 0 ] || sudo=sudo
$sudo apt-get update -qq && $sudo env DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing >/dev/null
