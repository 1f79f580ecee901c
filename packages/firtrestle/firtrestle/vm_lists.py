"""Parse the platform's list of VMs, which lags behind their actual state."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from enum import StrEnum

from pydantic import BaseModel, ConfigDict, ValidationError


class VmKind(StrEnum):
    """Define what runs on a VM."""

    DAEMON = "daemon"
    TARGET = "target"


class VmState(StrEnum):
    """Define whether a VM is leaving the fleet."""

    LIVE = "live"
    LEAVING = "leaving"


class _VmModel(BaseModel):
    model_config = ConfigDict(extra="ignore")

    id: str
    kind: VmKind
    data_centre: str
    host: str
    port: int
    peer_port: int = 0
    state: VmState = VmState.LIVE
    collection: str = ""


class _VmListModel(BaseModel):
    vms: list[_VmModel]


@dataclass(frozen=True, slots=True)
class Vm:
    """Represent one listed VM."""

    id: str
    kind: VmKind
    data_centre: str
    host: str
    port: int
    peer_port: int
    state: VmState
    collection: str


@dataclass(frozen=True, slots=True)
class VmList:
    """Represent one version of the list."""

    version: int = 0
    by_id: dict[str, Vm] = field(default_factory=dict)

    def daemons(self) -> dict[str, Vm]:
        """Return the listed daemons by id."""
        return {vm.id: vm for vm in self.by_id.values() if vm.kind is VmKind.DAEMON}

    def targets(self) -> dict[str, Vm]:
        """Return the listed targets by id."""
        return {vm.id: vm for vm in self.by_id.values() if vm.kind is VmKind.TARGET}


def parse_vm_list(text: str, version: int) -> VmList | str:
    """Return the parsed list, or the validation errors as a text."""
    try:
        checked = _VmListModel.model_validate(json.loads(text))
    except (ValueError, ValidationError) as error:
        return str(error)
    by_id = {model.id: Vm(**model.model_dump()) for model in checked.vms}
    return VmList(version, by_id)
