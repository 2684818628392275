"""Generates docs/reference.md from the types of settings and objects.

``python -m wagtailline_lab.reference`` prints the page.
"""

import inspect
from typing import Annotated, Any, Literal, get_args, get_origin, get_type_hints

from msgspec import Meta

from wagtailline.objects import KINDS
from wagtailline_daemon.settings import DaemonSettings
from wagtailline_sidecar.settings import SidecarSettings

_HEADING = """# Reference of settings and objects

This page is generated from the code by `python -m wagtailline_lab.reference`;
CI checks that it is current. Unknown fields, wrong types and values out of
range are refused.
"""
_NONE_TYPE = type(None)


def render_reference() -> str:
    """Return the reference page as Markdown."""
    sections = [
        _HEADING,
        _render_type('Settings of `wagtaild`', DaemonSettings),
        _render_type('Settings of the sidecar', SidecarSettings),
        '## Objects\n\nA set is a JSON object with one list for each kind.\n',
    ]
    for name, kind in KINDS.items():
        sections.append(_render_type(f'`{name}`', kind, level=3))
    return '\n'.join(sections)


def _render_type(title: str, kind: Any, level: int = 2) -> str:
    lines = [
        f'{"#" * level} {title}',
        '',
        inspect.cleandoc(kind.__doc__ or ''),
        '',
        '| field | type | default |',
        '|---|---|---|',
    ]
    for name, hint in get_type_hints(kind, include_extras=True).items():
        default = kind._field_defaults.get(name, '(required)')
        lines.append(f'| `{name}` | {_render_hint(hint)} | `{default}` |')
    return '\n'.join((*lines, ''))


def _render_hint(hint: Any) -> str:
    if get_origin(hint) is Annotated:
        kind, *constraints = get_args(hint)
        return ', '.join(
            (
                _render_hint(kind),
                *(_render_constraint(meta) for meta in constraints),
            )
        )
    if get_origin(hint) is Literal:
        return ' or '.join(f'`{choice}`' for choice in get_args(hint))
    arguments = [
        _render_hint(argument)
        for argument in get_args(hint)
        if argument is not Ellipsis
    ]
    if not arguments:
        return 'null' if hint is _NONE_TYPE else getattr(hint, '__name__', '')
    if get_origin(hint) in {tuple, dict}:
        return f'{get_origin(hint).__name__} of {" to ".join(arguments)}'
    return ' or '.join(arguments)


def _render_constraint(meta: Meta) -> str:
    bounds = {
        'from': meta.ge,
        'above': meta.gt,
        'to': meta.le,
        'pattern': f'`{meta.pattern}`' if meta.pattern else None,
        'at least characters': meta.min_length,
        'at most characters': meta.max_length,
    }
    return ' '.join(
        f'{name} {bound}' for name, bound in bounds.items() if bound is not None
    )


if __name__ == '__main__':
    print(render_reference())
