#!/usr/bin/env python3
"""Measures how the cost of one process grows with the size of the system, on loopback and without privileges.

Usage: Meta/scale.py EXPERIMENT [--build FOLDER] [--seconds N] [--json FILE]

Experiments: links, entries, organisations, fleet, all. Each runs real daemons against engine stand-ins at four or more
sizes, reads processor time and resident memory from /proc and bytes from /metrics, and prints the measured points, a
straight-line fit and its largest residual. Every process that is started is ended by its id.
"""
import argparse
import hashlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request

SHARED_KEY = "scale-measurement-shared-key"
CALLER_KEY = "scale-caller-{}"
DOMAINS = ["domain-a", "domain-b", "domain-c"]
AGENTS_PER_ENGINE = 10
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_KIB = os.sysconf("SC_PAGE_SIZE") // 1024
READY_SECONDS = 60


def agent_host(index):
    return f"127.6.{1 + index // 200}.{1 + index % 200}"


def entry_host(index):
    return f"127.6.100.{1 + index}"


def catalogue_text(agents, entries, organisations):
    lines = ["rules: 1", "revision: 1", "failure_domains:"]
    lines += [f"  - {{name: {name}, region: region-{name[-1]}}}" for name in DOMAINS]
    lines += [
        "services:",
        "  - name: text",
        "    owner: measurement",
        "    kind: generation",
        '    placement: {model: model-a, version: "1", minimum_warm: 1}',
        "targets:",
    ]
    for index in range(agents):
        lines.append(
            f"  - {{name: target-{index}, service: text, failure_domain: {DOMAINS[index % 3]}, vm: vm-t{index}, "
            f'agent_address: "{agent_host(index)}:22001", memory_tokens: 400000, maximum_running: 4000, '
            "warmup_floor: 2}"
        )
    lines.append("entries:")
    for index in range(entries):
        lines.append(
            f"  - {{name: entry-{index}, failure_domain: {DOMAINS[index % 3]}, vm: vm-e{index}, "
            f'peer_address: "{entry_host(index)}:22101"}}'
        )
    lines += [
        "service_classes:",
        "  - {name: standard, owner: measurement, goal: token_gap, crossing: always}",
        "organisations:",
    ]
    for index in range(organisations):
        digest = hashlib.sha256(CALLER_KEY.format(index).encode()).hexdigest()
        lines.append(
            f"  - {{name: organisation-{index}, owner: measurement, service_class: standard, "
            f"bearer_key_sha256: {digest}, services: [text]}}"
        )
    return "\n".join(lines) + "\n"


def settings_text(role, name, domain, vm, host, catalogue, target=None):
    lines = [
        f"role: {role}",
        f"name: {name}",
        f"failure_domain: {domain}",
        f"vm: {vm}",
        "threads: 1",
        f'peer_address: "{host}:{22001 if role == "agent" else 22101}"',
        f'operator_address: "{host}:22201"',
        f"catalogue_file: {catalogue}",
        f"shared_keys: [{SHARED_KEY}]",
        "drain_accept: 100 ms",
        "log_level: error",
    ]
    if role == "entry":
        lines.append(f'caller_address: "{host}:22301"')
    if target:
        lines.append(f'target_address: "{target}"')
    return "\n".join(lines) + "\n"


class Fleet:
    """A set of daemons and stand-ins that is started for one point of an experiment."""

    def __init__(self, build, agents, entries, organisations):
        self.folder = tempfile.TemporaryDirectory(prefix="cyclamenledge-scale-")
        self.build = pathlib.Path(build)
        self.processes = []
        self.agents, self.entries = {}, {}
        root = pathlib.Path(self.folder.name)
        catalogue = root / "catalogue.yaml"
        catalogue.write_text(catalogue_text(agents, entries, organisations))
        for index in range((agents + AGENTS_PER_ENGINE - 1) // AGENTS_PER_ENGINE):
            self.start("Development/standin/cyclamen-standin", "engine", "--listen", f"127.6.200.{1 + index}:22401",
                       "--memory-tokens", "4000000", "--maximum-batch", "4000")
        for index in range(agents):
            target = f"127.6.200.{1 + index // AGENTS_PER_ENGINE}:22401"
            self.agents[index] = self.daemon(root, "agent", f"target-{index}", DOMAINS[index % 3], f"vm-t{index}",
                                             agent_host(index), catalogue, target)
        for index in range(entries):
            self.entries[index] = self.daemon(root, "entry", f"entry-{index}", DOMAINS[index % 3], f"vm-e{index}",
                                              entry_host(index), catalogue)

    def start(self, program, *arguments):
        process = subprocess.Popen([str(self.build / program), *arguments], stdout=subprocess.DEVNULL,
                                   stderr=subprocess.DEVNULL)
        self.processes.append(process)
        return process

    def daemon(self, root, role, name, domain, vm, host, catalogue, target=None):
        path = root / f"{name}.yaml"
        path.write_text(settings_text(role, name, domain, vm, host, catalogue, target))
        return self.start("Services/cyclamenledged/cyclamenledged", "--config", str(path))

    def wait_until_linked(self, links_per_entry):
        deadline = time.monotonic() + READY_SECONDS
        for index in self.entries:
            while True:
                try:
                    state = read_json(f"http://{entry_host(index)}:22201/state")
                    if sum(target["link_up"] for target in state["targets"]) >= links_per_entry:
                        break
                except OSError:
                    pass
                if time.monotonic() > deadline:
                    raise RuntimeError(f"entry {index} did not link to {links_per_entry} targets")
                time.sleep(0.1)

    def close(self):
        for process in self.processes:
            process.send_signal(signal.SIGTERM)
        for process in self.processes:
            try:
                process.wait(10)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.folder.cleanup()


def read_json(url):
    with urllib.request.urlopen(url, timeout=5) as answer:
        return json.load(answer)


def read_metrics(host):
    with urllib.request.urlopen(f"http://{host}:22201/metrics", timeout=5) as answer:
        lines = answer.read().decode().splitlines()
    return {name: float(value) for name, value in (line.split() for line in lines if line and line[0] != "#")}


def sample(process, host):
    stat = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    resident = int(pathlib.Path(f"/proc/{process.pid}/statm").read_text().split()[1]) * PAGE_KIB
    metrics = read_metrics(host)
    control = sum(metrics[f"cyclamenledge_control_bytes_{way}_total"] for way in ("received", "sent"))
    return {"cpu": (int(stat[11]) + int(stat[12])) / CLOCK_TICKS, "resident_kib": resident, "control": control,
            "at": time.monotonic()}


def cost(process, host, seconds):
    """Control cost of an idle process: percent of a core, bytes per second and resident KiB."""
    before = sample(process, host)
    time.sleep(seconds)
    after = sample(process, host)
    span = after["at"] - before["at"]
    return {
        "core_percent": 100 * (after["cpu"] - before["cpu"]) / span,
        "control_bytes_per_second": (after["control"] - before["control"]) / span,
        "resident_kib": after["resident_kib"],
    }


def fit(points, value):
    """Least-squares line through (size, value): intercept, slope and largest residual."""
    xs, ys = [point["size"] for point in points], [point[value] for point in points]
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys)) / sum((x - mean_x) ** 2 for x in xs)
    intercept = mean_y - slope * mean_x
    residual = max(abs(y - intercept - slope * x) for x, y in zip(xs, ys))
    return {"intercept": intercept, "slope": slope, "largest_residual": residual}


def measure_links(build, seconds):
    """An entry with a growing number of links to agents."""
    for size in (8, 16, 32, 64):
        fleet = Fleet(build, size, 1, 10)
        try:
            fleet.wait_until_linked(min(size, 32))
            links = sum(t["link_up"] for t in read_json(f"http://{entry_host(0)}:22201/state")["targets"])
            yield {"size": links, **cost(fleet.entries[0], entry_host(0), seconds)}
        finally:
            fleet.close()


def measure_entries(build, seconds):
    """An agent with a growing number of links from entries."""
    for size in (1, 4, 8, 16):
        fleet = Fleet(build, 4, size, 10)
        try:
            fleet.wait_until_linked(4)
            yield {"size": size, **cost(fleet.agents[0], agent_host(0), seconds)}
        finally:
            fleet.close()


def measure_organisations(build, seconds):
    """An entry with a growing number of organisations in the catalogue."""
    for size in (500, 1000, 2000, 4000):
        fleet = Fleet(build, 4, 1, size)
        try:
            fleet.wait_until_linked(4)
            yield {"size": size, **cost(fleet.entries[0], entry_host(0), seconds)}
        finally:
            fleet.close()


def measure_fleet(build, seconds):
    """Every daemon of a growing fleet; the size is the number of agents, with one entry for five of them."""
    for size in (25, 50, 75, 100):
        fleet = Fleet(build, size, size // 5, 100)
        try:
            fleet.wait_until_linked(20)
            before = [sample(p, entry_host(i)) for i, p in fleet.entries.items()]
            before += [sample(p, agent_host(i)) for i, p in fleet.agents.items()]
            time.sleep(seconds)
            after = [sample(p, entry_host(i)) for i, p in fleet.entries.items()]
            after += [sample(p, agent_host(i)) for i, p in fleet.agents.items()]
            entries = len(fleet.entries)
            point = {"size": size}
            for role, part in (("entry", slice(0, entries)), ("agent", slice(entries, None))):
                spans = [(a["at"] - b["at"], a, b) for a, b in zip(after[part], before[part])]
                point[f"{role}_core_percent"] = max(100 * (a["cpu"] - b["cpu"]) / s for s, a, b in spans)
                point[f"{role}_control_bytes_per_second"] = max((a["control"] - b["control"]) / s for s, a, b in spans)
                point[f"{role}_resident_kib"] = max(a["resident_kib"] for _, a, _ in spans)
            yield point
        finally:
            fleet.close()


EXPERIMENTS = {
    "links": measure_links,
    "entries": measure_entries,
    "organisations": measure_organisations,
    "fleet": measure_fleet,
}


def report(name, points):
    columns = [column for column in points[0] if column != "size"]
    print(f"\n{name}: {EXPERIMENTS[name].__doc__}")
    print("| size | " + " | ".join(columns) + " |")
    print("|---" * (len(columns) + 1) + "|")
    for point in points:
        print(f"| {point['size']} | " + " | ".join(f"{point[column]:.3f}" for column in columns) + " |")
    fits = {column: fit(points, column) for column in columns}
    for column, line in fits.items():
        print(f"fit {column}: {line['intercept']:.3f} + {line['slope']:.5f} per unit of size, "
              f"largest residual {line['largest_residual']:.3f}")
    return fits


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("experiment", choices=[*EXPERIMENTS, "all"])
    parser.add_argument("--build", default="build/release")
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--json")
    options = parser.parse_args()
    results = {}
    for name in EXPERIMENTS if options.experiment == "all" else [options.experiment]:
        points = list(EXPERIMENTS[name](options.build, options.seconds))
        results[name] = {"points": points, "fits": report(name, points)}
    if options.json:
        pathlib.Path(options.json).write_text(json.dumps(results, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
