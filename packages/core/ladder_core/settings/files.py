"""Reading of YAML files with validation by a pydantic model."""

from pathlib import Path
from typing import TypeVar

import yaml
from pydantic import BaseModel, ConfigDict, ValidationError

from ladder_core.errors import SettingsError

Model = TypeVar('Model', bound=BaseModel)


class SettingsModel(BaseModel):
    """Base of settings models; unknown keys are errors, instances immutable."""

    model_config = ConfigDict(extra='forbid', frozen=True)


def load_yaml(path: Path, model: type[Model]) -> Model:
    """
    Read and validate a YAML file.

    Parameters
    ----------
    path : Path
        Location of the file.
    model : type
        Pydantic model that validates the content.

    Returns
    -------
    Model
        Validated settings.

    Raises
    ------
    SettingsError
        The file cannot be read, is not valid YAML or does not match the
        model; the message has one line for each fault.

    """
    try:
        text = path.read_text()
    except OSError as error:
        raise SettingsError(
            f'{path}: {error.strerror}',
            remedy='give the path of a readable file',
        ) from error
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
        document = yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise SettingsError(
            f'{path}: not valid YAML: {error}',
            remedy='correct the YAML syntax',
        ) from error
    try:
        return model.model_validate(document)
    except ValidationError as error:
        lines = _format_errors(path, node, error)
        raise SettingsError(
            '\n'.join(lines),
            remedy='correct the fields named',
        ) from error


def _format_errors(
    path: Path,
    node: yaml.Node | None,
    error: ValidationError,
) -> list[str]:
    lines = []
    for fault in error.errors():
        line = _find_line(node, fault['loc'])
        field = '.'.join(str(key) for key in fault['loc'])
        lines.append(f'{path}:{line}: {field}: {fault["msg"]}')
    return lines


def _find_line(node: yaml.Node | None, location: tuple[int | str, ...]) -> int:
    """Return the line number, from one, of the field or its nearest parent."""
    line = 1
    for key in location:
        child = _find_child(node, key)
        if child is None:
            break
        node = child
        line = node.start_mark.line + 1
    return line


def _find_child(node: yaml.Node | None, key: int | str) -> yaml.Node | None:
    if isinstance(node, yaml.SequenceNode) and isinstance(key, int):
        children: list[yaml.Node] = node.value
        return children[key] if key < len(children) else None
    if isinstance(node, yaml.MappingNode):
        for name, child in node.value:
            if name.value == key:
                return child  # type: ignore[no-any-return]
    return None
