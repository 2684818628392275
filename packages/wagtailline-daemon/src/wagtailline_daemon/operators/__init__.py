"""Read-only HTTP interface for operators."""

from wagtailline_daemon.operators._api import StatusBoard, build_operator_app
from wagtailline_daemon.operators._http_server import (
    HttpServer,
    operator_config,
)

__all__ = (
    'HttpServer',
    'StatusBoard',
    'build_operator_app',
    'operator_config',
)
