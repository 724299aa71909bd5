#!/usr/bin/env bash
# Sourced by tools/demo.sh, tools/test.sh and .ci/run: installs what tools/packages.txt names, if anything of it is missing, and has
# compilers called through ccache.
installPackages() {
    local list="$1" missing=() package
    while read -r package; do
        [ -z "$package" ] || dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
    done < "$list"
    if [ ${#missing[@]} -eq 0 ]; then
        echo "== all packages of $list are installed"
        return
    fi
    echo "== installing: ${missing[*]}"
    # A fresh machine has no package lists, and without them every name is unknown.
    apt-get update -q
    DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends "${missing[@]}"
}

# Read by CMake when it configures a build directory for the first time.
export CMAKE_CXX_COMPILER_LAUNCHER="${CMAKE_CXX_COMPILER_LAUNCHER-ccache}" CCACHE_BASEDIR="${CCACHE_BASEDIR-$PWD}" CCACHE_NOHASHDIR=1
