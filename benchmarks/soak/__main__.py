"""Command line of the soak: one JSON line for each seed."""

import json
import shutil
import sys
from argparse import ArgumentParser
from dataclasses import asdict
from pathlib import Path
from random import SystemRandom
from tempfile import mkdtemp

from benchmarks.soak.faults import FAULTS
from benchmarks.soak.mutant import MUTANTS
from benchmarks.soak.runner import NODE_MODULE, SoakOptions, run_soak

MUTANT_MODULE = "benchmarks.soak.mutant"
# File in the folder of a failed seed, with all attempts, events and faults.
RECORD_NAME = "record.json"
# Largest random seed.
MAX_SEED = 1_000_000


def main() -> int:
    """Run soaks and return 1 if a promise was broken."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, help="first seed; random without it")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--minutes", type=float, default=0.5, help="of each seed")
    parser.add_argument("--hosts", type=int, default=9)
    parser.add_argument(
        "--fault",
        action="append",
        choices=[fault.name for fault in FAULTS],
        help="only this one; may be repeated",
    )
    parser.add_argument("--mutant", choices=sorted(MUTANTS), help="see mutant.py")
    parser.add_argument("--folder", type=Path, help="for logs; kept after a failure")
    options = parser.parse_args()
    first_seed = options.seed
    if first_seed is None:
        first_seed = SystemRandom().randrange(MAX_SEED)
    n_failed = 0
    for seed in range(first_seed, first_seed + options.seeds):
        folder = Path(mkdtemp(prefix=f"soak-{seed}-", dir=options.folder))
        result = run_soak(
            SoakOptions(
                seed=seed,
                duration_s=60 * options.minutes,
                n_hosts=options.hosts,
                folder=folder,
                faults=tuple(options.fault or ()),
                node_module=MUTANT_MODULE if options.mutant else NODE_MODULE,
                node_arguments=(options.mutant,) if options.mutant else (),
            )
        )
        print(json.dumps(result.summarize()), flush=True)
        if result.violations:
            n_failed += 1
            record = json.dumps(asdict(result.record), default=sorted)
            (folder / RECORD_NAME).write_text(record)
            print(json.dumps({"logs": str(folder)}), flush=True)
        else:
            shutil.rmtree(folder)
    return 1 if n_failed else 0


if __name__ == "__main__":
    sys.exit(main())
