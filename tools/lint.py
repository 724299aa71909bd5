"""Runs clang-tidy on C++ files, each once for each content. Called by .ci/run.

Usage: lint.py BUILD FILE...

A file that clang-tidy had nothing to say about is not checked again until its preprocessed text, its flags, the checks
or clang-tidy itself change. The results are kept in $XDG_CACHE_HOME/sagechute-lint (by default below ~/.cache).
"""

import concurrent.futures
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys

CACHE = pathlib.Path(os.environ.get("XDG_CACHE_HOME") or pathlib.Path.home() / ".cache") / "sagechute-lint"


def preprocessed(entry):
    """The text that the compiler sees, with comments, as these can switch checks off."""
    command = shlex.split(entry["command"])
    command = command[:command.index("-o")] + command[command.index("-o") + 2:]
    command = [it for it in command if it != "-c" and os.path.basename(it) != "ccache"]
    return subprocess.run(command + ["-E", "-C", "-P"], cwd=entry["directory"], check=True, capture_output=True).stdout


def lint(build, file, entry, common):
    digest = hashlib.sha256(common + preprocessed(entry) + entry["command"].replace(os.getcwd(), "").encode())
    mark = CACHE / digest.hexdigest()
    if mark.exists():
        return True
    result = subprocess.run(["clang-tidy", "--quiet", "-p", build, file], capture_output=True, text=True, check=False)
    if result.returncode == 0 and not result.stdout.strip():
        mark.touch()
        return True
    print(result.stdout + result.stderr, flush=True)
    return result.returncode == 0


def main():
    build, files = sys.argv[1], sys.argv[2:]
    CACHE.mkdir(parents=True, exist_ok=True)
    entries = {os.path.realpath(it["file"]): it for it in json.loads(pathlib.Path(build, "compile_commands.json").read_text())}
    unknown = [it for it in files if os.path.realpath(it) not in entries]
    if unknown:
        sys.exit(f"lint.py: not part of the build in {build}: {' '.join(unknown)}; configure it anew")
    version = subprocess.run(["clang-tidy", "--version"], check=True, capture_output=True).stdout
    common = version + pathlib.Path(".clang-tidy").read_bytes()
    with concurrent.futures.ThreadPoolExecutor(len(os.sched_getaffinity(0))) as pool:
        clean = list(pool.map(lambda it: lint(build, it, entries[os.path.realpath(it)], common), files))
    print(f"{sum(clean)} of {len(files)} files clean")
    sys.exit(0 if all(clean) else 1)


if __name__ == "__main__":
    main()
