"""Hold the registries that plug-ins add their policies to."""

from __future__ import annotations

import importlib
from collections.abc import Iterable
from typing import TYPE_CHECKING, Generic, TypeVar

from firtrestle.credits import CreditLedger

if TYPE_CHECKING:
    from firtrestle.admitters import Admitter
    from firtrestle.hedgers import Hedger
    from firtrestle.part_replies import InstanceCodec
    from firtrestle.replica_choosers import ReplicaChooser
    from firtrestle.route_fronts import CallerCodec
    from firtrestle.route_sources import RouteSource

Policy = TypeVar("Policy")


class UnknownPolicy(LookupError):
    """Say that no plug-in registered a name."""


class Registry(Generic[Policy]):
    """Keep the classes of one family by name."""

    def __init__(self, family: str) -> None:
        self.family = family
        self.by_name: dict[str, type[Policy]] = {}

    def add(self, policy: type[Policy]) -> None:
        """Register a class under its `name`."""
        self.by_name[policy.name] = policy

    def get(self, name: str) -> type[Policy]:
        """Return a class; raise UnknownPolicy with the known names."""
        if name not in self.by_name:
            known = ", ".join(sorted(self.by_name))
            raise UnknownPolicy(f"no {self.family} is called '{name}'; known: {known}")
        return self.by_name[name]


class Kernel:
    """Hold one registry for each family of policies."""

    def __init__(self) -> None:
        self.choosers: Registry[ReplicaChooser] = Registry("replica chooser")
        self.hedgers: Registry[Hedger] = Registry("hedger")
        self.admitters: Registry[Admitter] = Registry("admitter")
        self.sources: Registry[RouteSource] = Registry("route source")
        self.codecs: dict[str, tuple[CallerCodec, InstanceCodec]] = {}  # by their source's name
        self.ledger = CreditLedger()
        self.hooks: list[object] = []

    @classmethod
    def from_plugins(cls, modules: Iterable[str]) -> Kernel:
        """Import each module and let it register; raise ImportError on a bad one."""
        kernel = cls()
        for name in modules:
            module = importlib.import_module(name)
            module.register(kernel)
        return kernel
