"""Generate the documentation page of all settings.

Usage: `python -m firtrestle.settings_pages`.
"""

from __future__ import annotations

import json
from collections.abc import Iterator

from pydantic import BaseModel
from pydantic_core import PydanticUndefined

from firtrestle.settings import Settings

PAGE_HEADER = """# Settings

Each daemon reads one YAML file: `firtrestled settings.yaml`. `firtrestled --check settings.yaml`
checks it and exits. Unknown keys are refused, with the nearest known one named. This page is
generated from the models by `python -m firtrestle.settings_pages`; a test checks that it matches.

| setting | default | meaning |
|---|---|---|
"""


def settings_page() -> str:
    """Return the page as Markdown, with one table row for each setting."""
    return PAGE_HEADER + "".join(f"{row}\n" for row in _rows(Settings, ""))


def _rows(model: type[BaseModel], prefix: str) -> Iterator[str]:
    for name, field in model.model_fields.items():
        annotation = field.annotation
        if isinstance(annotation, type) and issubclass(annotation, BaseModel):
            yield from _rows(annotation, f"{prefix}{name}.")
            continue
        required = field.default is PydanticUndefined
        default = "required" if required else f"`{json.dumps(field.default)}`"
        yield f"| `{prefix}{name}` | {default} | {field.description} |"


if __name__ == "__main__":
    print(settings_page(), end="")
