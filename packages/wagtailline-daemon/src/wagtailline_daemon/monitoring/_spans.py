"""Tracing of call handlers with OpenTelemetry spans."""

import json
from collections.abc import Sequence
from pathlib import Path
from random import Random

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)
from result import Ok, Result

from wagtailline.calls import Answer, Body, CallHandler, CallRequest, Refusal

_SAMPLED_FLAGS_SUFFIX = '-01'
_TRACEPARENT_HEADER = 'traceparent'
_NANOSECONDS_PER_MS = 1_000_000


class FileSpanExporter(SpanExporter):
    """Exporter that appends one JSON line for each span to a file."""

    def __init__(self, path: Path) -> None:
        """Open the file for appending, creating it if missing."""
        self._output = path.open('a', buffering=1)

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write a batch of spans."""
        for span in spans:
            self._output.write(f'{json.dumps(describe_span(span))}\n')
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Close the file."""
        self._output.close()


class SpanTracing:
    """Tracing that exports sampled calls as OpenTelemetry spans."""

    def __init__(
        self, exporter: SpanExporter, vm: str, ratio: float, random: Random
    ) -> None:
        """Sample the given ratio of the calls that arrive without a trace."""
        self._provider = TracerProvider(
            resource=Resource({'service.name': 'wagtaild', 'host.name': vm})
        )
        self._provider.add_span_processor(BatchSpanProcessor(exporter))
        self._tracer = self._provider.get_tracer('wagtailline')
        self._propagator = TraceContextTextMapPropagator()
        self._ratio = ratio
        self._random = random

    def wrap(
        self, name: str, inner: CallHandler, root: bool = False
    ) -> CallHandler:
        """Return a handler that runs each sampled call in a span.

        Only a root handler samples calls that arrive without a trace.
        """

        async def run(
            request: CallRequest, body: Body
        ) -> Result[Answer, Refusal]:
            if not self._is_sampled(request.trace, root):
                return await inner(request, body)
            span, context = self._start_span(name, request.trace)
            outcome = await _run_in_span(
                span, inner, request._replace(trace=context), body
            )
            _set_attributes(span, request, outcome)
            if isinstance(outcome, Ok):
                answer = outcome.ok_value
                return Ok(
                    answer._replace(body=_end_span_after(answer.body, span))
                )
            span.end()
            return outcome

        return run

    def stop(self) -> None:
        """Export the remaining spans and shut down."""
        self._provider.shutdown()

    def _start_span(self, name: str, parent: str) -> tuple[trace.Span, str]:
        span = self._tracer.start_span(
            name, self._propagator.extract({_TRACEPARENT_HEADER: parent})
        )
        carrier: dict[str, str] = {}
        self._propagator.inject(carrier, trace.set_span_in_context(span))
        return span, carrier[_TRACEPARENT_HEADER]

    def _is_sampled(self, parent: str, root: bool) -> bool:
        if parent:
            return parent.endswith(_SAMPLED_FLAGS_SUFFIX)
        return root and self._random.random() < self._ratio


def describe_span(span: ReadableSpan) -> dict[str, object]:
    """Return the fields of a finished span for its line in the file."""
    context = span.get_span_context()
    started, ended = span.start_time or 0, span.end_time or 0
    return {
        'name': span.name,
        'trace': trace.format_trace_id(context.trace_id) if context else '',
        'span': trace.format_span_id(context.span_id) if context else '',
        'parent': trace.format_span_id(span.parent.span_id)
        if span.parent
        else '',
        'started_unix_nanoseconds': started,
        'milliseconds': (ended - started) / _NANOSECONDS_PER_MS,
        'vm': span.resource.attributes.get('host.name'),
        **dict(span.attributes or {}),
    }


def open_otlp(target: str) -> SpanExporter:
    """Return an exporter to an OTLP collector over HTTP."""
    from opentelemetry.exporter.otlp.proto.http.trace_exporter import (
        OTLPSpanExporter,
    )

    exporter: SpanExporter = OTLPSpanExporter(endpoint=target)
    return exporter


def _set_attributes(
    span: trace.Span, request: CallRequest, outcome: Result[Answer, Refusal]
) -> None:
    span.set_attribute('route', request.route)
    span.set_attribute('endpoint', request.endpoint)
    span.set_attribute('depth', request.depth)
    if isinstance(outcome, Ok):
        span.set_attribute('status', outcome.ok_value.status)
    else:
        span.set_attribute('refusal', outcome.err_value.reason)
        span.set_attribute('executed', outcome.err_value.executed)


async def _run_in_span(
    span: trace.Span, inner: CallHandler, request: CallRequest, body: Body
) -> Result[Answer, Refusal]:
    try:
        return await inner(request, body)
    except BaseException:
        span.end()
        raise


async def _end_span_after(body: Body, span: trace.Span) -> Body:
    try:
        async for chunk in body:
            yield chunk
    finally:
        span.end()
