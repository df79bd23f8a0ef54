/**
 * Traces that have a span for each hop of a request, and the propagation of the
 * W3C trace context.
 */
import {
  context,
  ROOT_CONTEXT,
  type Span,
  SpanKind,
  SpanStatusCode,
  type TextMapGetter,
  type TextMapSetter,
  trace,
  type Tracer,
} from '@opentelemetry/api';
import {W3CTraceContextPropagator} from '@opentelemetry/core';
import {OTLPTraceExporter} from '@opentelemetry/exporter-trace-otlp-http';
import {resourceFromAttributes} from '@opentelemetry/resources';
import {
  BasicTracerProvider,
  BatchSpanProcessor,
} from '@opentelemetry/sdk-trace-base';

/** The span of one hop of a request. */
export interface HopSpan {
  /**
   * Value of the `traceparent` header for the next hop. With tracing off it is
   * the value that was received, if any.
   */
  readonly traceparent: string | undefined;
  /** Ends the span; `failure` is the error kind of a failed hop. */
  end(failure?: string): void;
}

/** The side of a hop that a span is recorded for. */
export type HopKind = 'client' | 'server';

/** Creates and exports the spans of a process. */
export interface Tracing {
  /** Starts the span `name` as a child of the span in `traceparent`. */
  startHop(
    name: string,
    kind: HopKind,
    traceparent: string | undefined,
    attributes: Readonly<Record<string, string>>,
  ): HopSpan;
  /** Exports the remaining spans and stops. */
  shutdown(): Promise<void>;
}

interface Carrier {
  traceparent: string | undefined;
}

const CARRIER_GETTER: TextMapGetter<Carrier> = {
  get: (carrier, key) =>
    key === 'traceparent' ? carrier.traceparent : undefined,
  keys: () => ['traceparent'],
};

const CARRIER_SETTER: TextMapSetter<Carrier> = {
  set: (carrier, key, value) => {
    if (key === 'traceparent') {
      carrier.traceparent = value;
    }
  },
};

const TRACE_CONTEXT_PROPAGATOR = new W3CTraceContextPropagator();

/** Tracing that forwards the client's trace context and records nothing. */
export const NO_TRACING: Tracing = {
  startHop: (_name, _kind, traceparent) => ({
    traceparent,
    end: () => undefined,
  }),
  shutdown: () => Promise.resolve(),
};

/** Creates tracing that exports spans to the OTLP collector at `url`. */
export function createTracing(hostId: string, url: string): Tracing {
  const provider = new BasicTracerProvider({
    resource: resourceFromAttributes({
      'service.name': 'lacewingwinch',
      'service.instance.id': hostId,
    }),
    spanProcessors: [new BatchSpanProcessor(new OTLPTraceExporter({url}))],
  });
  return createTracingFromProvider(provider);
}

/** Creates tracing that records spans with `provider`. */
export function createTracingFromProvider(
  provider: BasicTracerProvider,
): Tracing {
  const tracer = provider.getTracer('lacewingwinch');
  return {
    startHop: (name, kind, traceparent, attributes) =>
      startHop(tracer, name, kind, traceparent, attributes),
    shutdown: () => provider.shutdown(),
  };
}

function startHop(
  tracer: Tracer,
  name: string,
  kind: HopKind,
  traceparent: string | undefined,
  attributes: Readonly<Record<string, string>>,
): HopSpan {
  const parent = TRACE_CONTEXT_PROPAGATOR.extract(
    ROOT_CONTEXT,
    {traceparent},
    CARRIER_GETTER,
  );
  const span = tracer.startSpan(
    name,
    {
      kind: kind === 'client' ? SpanKind.CLIENT : SpanKind.SERVER,
      attributes,
    },
    parent,
  );
  return {
    traceparent: formatTraceparent(span),
    end: failure => {
      if (failure !== undefined) {
        span.setStatus({code: SpanStatusCode.ERROR, message: failure});
      }
      span.end();
    },
  };
}

function formatTraceparent(span: Span): string | undefined {
  const carrier: Carrier = {traceparent: undefined};
  TRACE_CONTEXT_PROPAGATOR.inject(
    trace.setSpan(context.active(), span),
    carrier,
    CARRIER_SETTER,
  );
  return carrier.traceparent;
}
