"""Run a small fleet for manual trials: start with `make playground`, stop with Ctrl-C."""

from __future__ import annotations

import sys
from pathlib import Path

import trio

from firtrestle_standins.demos import CATALOGUE
from firtrestle_standins.rigs import Rig
from firtrestle_standins.shapes import FEES, REGISTRY, REVIEW_DESK


async def run(catalogue: str) -> None:
    """Start three daemons and three collections, print how to reach them, and wait."""
    rig = Rig()
    try:
        await rig.start_platform()
        for shape in (REVIEW_DESK, REGISTRY, FEES):
            await rig.start_targets(shape)
        await rig.publish_catalogue(catalogue)
        await rig.start_daemons(3)
        await rig.wait_until_ready()
        addresses = ",".join(rig.daemon_addresses().values())
        first = addresses.split(",")[0]
        platform = rig.by_name["platform"].address
        print(f"daemons: {addresses}; platform: {platform}; logs: {rig.folder}")
        print("try, in another shell:")
        print(f"  .venv/bin/firtrestle status --daemon {first}")
        body = '{"modulus": 97, "remainder": 5}'
        print(f"  .venv/bin/firtrestle query corner-lookup '{body}' --daemon {first}")
        print(f"  .venv/bin/firtrestle timeline --follow --daemon {first}", flush=True)
        await trio.sleep_forever()
    finally:
        rig.close()


def main() -> None:
    """Run with the catalogue file named on the command line, or with the demo's catalogue."""
    catalogue = Path(sys.argv[1]).read_text() if len(sys.argv) > 1 else CATALOGUE
    try:
        trio.run(run, catalogue)
    except KeyboardInterrupt:
        print("ended")


if __name__ == "__main__":
    main()
