"""Measures what docs/CAPACITY.md and docs/MEASUREMENTS.md rest on. Called by tools/measure.sh."""

import argparse
import json
import os
import subprocess
import sys
import tempfile

import process_trials
import relay_trials
from fleet import TrialError
from measurements import DIRECTORY, ROOT, Measurement

BENCH_SECONDS = 3600
MIN_TIME = "0.2"
BENCHES = {"wire": "WireBench", "config": "ConfigBench", "gossip": "GossipBench", "scheduling": "SchedulingBench",
           "delivery": "DeliveryBench", "net": "NetBench", "routing": "RoutingBench"}
KEPT = ("real_time", "cpu_time", "time_unit", "items_per_second")
DROPPED = ("name", "run_name", "run_type", "repetitions", "repetition_index", "threads", "iterations", "family_index",
           "per_family_instance_index")


def bench_results(document):
    """Each benchmark's times and counters by its name, without what only the harness needs."""
    results = {}
    for row in document["benchmarks"]:
        if row.get("error_occurred"):
            raise TrialError(f"{row['name']} failed: {row['error_message']}")
        results[row["name"]] = {name: value for name, value in row.items() if name in KEPT or name not in DROPPED}
    return results


def run_bench(args, name):
    binary = os.path.join(args.build, "bench", BENCHES[name])
    if not os.access(binary, os.X_OK):
        raise TrialError(f"{binary} is missing; build it with: cmake --build {args.build} --target {BENCHES[name]}")
    flags = ["--benchmark_min_time=" + MIN_TIME]
    if args.filter:
        flags.append("--benchmark_filter=" + args.filter)
    measurement = Measurement("bench-" + name, f"build/bench/{BENCHES[name]} " + " ".join(flags), args.out)
    handle, path = tempfile.mkstemp(suffix=".json")
    os.close(handle)
    try:
        subprocess.run([binary, *flags, "--benchmark_out=" + path, "--benchmark_out_format=json"], check=True, timeout=BENCH_SECONDS)
        with open(path) as file:
            measurement.write(bench_results(json.load(file)))
    finally:
        os.unlink(path)


PARTS = {
    **{"bench-" + name: (lambda args, name=name: run_bench(args, name)) for name in BENCHES},
    "processes": process_trials.measure_routers,
    "steward": process_trials.measure_steward,
    "api": process_trials.measure_api,
    "latency": relay_trials.measure_latency,
    "requests": relay_trials.measure_requests,
    "tokens": relay_trials.measure_tokens,
}


def parse_arguments():
    parser = argparse.ArgumentParser(prog="tools/measure.sh", description=__doc__)
    parser.add_argument("build", help="where the binaries and the benches are")
    parser.add_argument("parts", nargs="*", help="any of: " + ", ".join(PARTS))
    parser.add_argument("--out", default=DIRECTORY, help="where the files go")
    parser.add_argument("--filter", help="only the benchmarks whose names match")
    parser.add_argument("--port-base", type=int, default=20000)
    parser.add_argument("--routers", type=int, nargs="+", default=[3, 8, 16, 32], help="sizes of the runs of real routers")
    args = parser.parse_args()
    for part in args.parts:
        if part not in PARTS:
            parser.error(f"{part} is none of: {', '.join(PARTS)}")
    return args


def main():
    args = parse_arguments()
    args.build = os.path.abspath(args.build)
    failed = []
    for part in args.parts or PARTS:
        print(f"== {part}", flush=True)
        try:
            PARTS[part](args)
        except (TrialError, subprocess.SubprocessError, OSError) as error:
            print(f"== {part} was not measured: {error}", file=sys.stderr, flush=True)
            failed.append(part)
    if failed:
        print("not measured: " + ", ".join(failed), file=sys.stderr)
    return 1 if failed else 0


if __name__ == "__main__":
    os.chdir(ROOT)
    sys.exit(main())
