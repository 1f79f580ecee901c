"""Provide the registries that plug-ins add their policies to."""

from __future__ import annotations

import importlib
from collections.abc import Iterable
from typing import TYPE_CHECKING, Generic, TypeVar

from firtrestle.credits import CreditLedger

if TYPE_CHECKING:
    from firtrestle.admitters import Admitter
    from firtrestle.hedgers import Hedger
    from firtrestle.instance_replies import InstanceCodec
    from firtrestle.replica_choosers import ReplicaChooser
    from firtrestle.route_fronts import CallerCodec
    from firtrestle.route_sources import RouteSource

Policy = TypeVar("Policy")


class UnknownPolicy(LookupError):
    """Report a policy name that no plug-in registered."""


class Registry(Generic[Policy]):
    """Register the classes of one family of policies by name."""

    def __init__(self, family: str) -> None:
        self.family = family
        self.by_name: dict[str, type[Policy]] = {}

    def add(self, policy: type[Policy]) -> None:
        """Register a class under its `name`."""
        self.by_name[policy.name] = policy

    def get(self, name: str) -> type[Policy]:
        """Return a class by name; raise UnknownPolicy, which lists the known names."""
        if name not in self.by_name:
            known = ", ".join(sorted(self.by_name))
            raise UnknownPolicy(f"unknown {self.family} '{name}'; known: {known}")
        return self.by_name[name]


class Kernel:
    """Collect what plug-ins register: policies by family, codecs and hooks."""

    def __init__(self) -> None:
        self.choosers: Registry[ReplicaChooser] = Registry("replica chooser")
        self.hedgers: Registry[Hedger] = Registry("hedger")
        self.admitters: Registry[Admitter] = Registry("admitter")
        self.sources: Registry[RouteSource] = Registry("route source")
        # Codecs by name of the route source.
        self.codecs: dict[str, tuple[CallerCodec, InstanceCodec]] = {}
        self.ledger = CreditLedger()
        self.hooks: list[object] = []

    @classmethod
    def from_plugins(cls, modules: Iterable[str]) -> Kernel:
        """Import each module and call its `register`; raise ImportError if one is missing."""
        kernel = cls()
        for name in modules:
            module = importlib.import_module(name)
            module.register(kernel)
        return kernel
