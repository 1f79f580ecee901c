"""Write the settings page from the settings' models: `python -m firtrestle.settings_pages`."""

from __future__ import annotations

import json
from collections.abc import Iterator

from pydantic import BaseModel
from pydantic_core import PydanticUndefined

from firtrestle.settings import Settings

HEAD = """# Settings

Each daemon reads one YAML file: `firtrestled settings.yaml`. `firtrestled --check settings.yaml`
checks it and exits. Unknown keys are refused, with the nearest known one named. This page is
written from the models by `python -m firtrestle.settings_pages`; a test holds the two together.

| setting | default | meaning |
|---|---|---|
"""


def settings_page() -> str:
    """Return the page as Markdown."""
    return HEAD + "".join(f"{row}\n" for row in _rows(Settings, ""))


def _rows(model: type[BaseModel], prefix: str) -> Iterator[str]:
    for name, field in model.model_fields.items():
        inner = field.annotation
        if isinstance(inner, type) and issubclass(inner, BaseModel):
            yield from _rows(inner, f"{prefix}{name}.")
            continue
        required = field.default is PydanticUndefined
        default = "required" if required else f"`{json.dumps(field.default)}`"
        yield f"| `{prefix}{name}` | {default} | {field.description} |"


if __name__ == "__main__":
    print(settings_page(), end="")
