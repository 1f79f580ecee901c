"""Run `firtrestled`, the daemon."""

from __future__ import annotations

import errno
import gc
import signal
import sys
from functools import partial
from pathlib import Path
from typing import Annotated

# The default action of SIGHUP ends the process; ignore it until the daemon has its own handler.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
gc.disable()  # imports free hardly anything; `start` enables collection again before serving

import trio
import typer

from firtrestle.kernels import Kernel, UnknownPolicy
from firtrestle.logs import configure_logs
from firtrestle.settings import Settings, load_settings

EXIT_BAD_SETTINGS = 1
EXIT_CANNOT_LISTEN = 3
GC_THRESHOLD_ALLOCATIONS = 50_000  # above the default, for fewer collection pauses

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


async def serve(settings: Settings, kernel: Kernel, settings_file: Path) -> None:
    """Run the kind of daemon that the settings select, and import the modules of that kind only."""
    async with trio.open_nursery() as nursery:
        if settings.routes.source:
            from firtrestle.route_daemons import RouteDaemon

            await RouteDaemon(settings, kernel, nursery, settings_file).run()
        else:
            from firtrestle.catalogue_daemons import CatalogueDaemon

            await CatalogueDaemon(settings, kernel, nursery).run()


@app.command()
def start(
    settings_file: Annotated[Path, typer.Argument(help="YAML file of settings")],
    check: Annotated[bool, typer.Option("--check", help="check the settings and exit")] = False,
) -> None:
    """Serve queries as one daemon of the fleet."""
    settings = load_settings(settings_file)
    if isinstance(settings, list):
        for fault in settings:
            typer.echo(f"{settings_file}: {fault}", err=True)
        raise typer.Exit(EXIT_BAD_SETTINGS)
    kernel = _build_kernel(settings, settings_file)
    if check:
        typer.echo(f"{settings_file}: good")
        return
    configure_logs(settings.logs, settings.daemon)
    gc.freeze()
    gc.enable()
    gc.set_threshold(GC_THRESHOLD_ALLOCATIONS)
    try:
        trio.run(partial(serve, settings, kernel, settings_file))
    except* OSError as errors:
        _report_os_error(errors.exceptions[0])


def _build_kernel(settings: Settings, settings_file: Path) -> Kernel:
    """Load the plug-ins; exit with an error if one fails to load or a policy does not exist."""
    try:
        kernel = Kernel.from_plugins(settings.plugins)
        kernel.choosers.get(settings.policies.chooser)
        kernel.hedgers.get(settings.policies.hedger)
        kernel.admitters.get(settings.policies.admitter)
        if settings.routes.source:
            kernel.sources.get(settings.routes.source)
    except (ImportError, AttributeError, UnknownPolicy) as error:
        typer.echo(f"{settings_file}: {error}", err=True)
        raise typer.Exit(EXIT_BAD_SETTINGS) from error
    return kernel


def _report_os_error(error: BaseException) -> None:
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    if getattr(error, "errno", None) != errno.EADDRINUSE:
        raise error
    typer.echo(f"cannot listen: {error.strerror}", err=True)
    raise typer.Exit(EXIT_CANNOT_LISTEN)


def main(argv: list[str] | None = None) -> None:
    """Parse the command line and run the daemon."""
    app(args=argv)


def run() -> None:
    """Run as the entry point of the installed `firtrestled` script."""
    main(sys.argv[1:])


if __name__ == "__main__":
    run()
