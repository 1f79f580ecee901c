from firtrestle.settings import Settings
from firtrestle.yaml_documents import Fault, check_document


def faults_of(text: str) -> list[Fault]:
    checked = check_document(text, Settings)
    assert isinstance(checked, list)
    return checked


def test_each_fault_has_a_line_a_path_and_a_suggestion():
    text = "daemon:\n  id: d1\n  data_centre: dc1\n  prot: 1\nplatform:\n  vm_list: a\n"
    by_path = {fault.path: fault for fault in faults_of(text)}
    assert by_path["daemon.prot"].line == 4
    assert by_path["daemon.prot"].mend == "did you mean 'port'?"
    assert by_path["platform.configuration_service"].message == "is missing"


def test_a_duplicate_key_is_a_fault():
    text = "daemon: {id: d1, data_centre: a}\ndaemon: {id: d2, data_centre: b}\n"
    assert any(fault.message == "stands twice" for fault in faults_of(text))


def test_invalid_yaml_is_reported_as_a_fault():
    assert faults_of("daemon: [1\nplatform: }")[0].message.startswith("is not YAML")


def test_empty_and_oversized_documents_are_rejected():
    assert faults_of("")[0].message == "is empty"
    assert "larger" in faults_of("#" + "x" * 1_000_001)[0].message
