/**
 * Traces with a span for each hop, and the W3C trace context.
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

/** A hop of a request. */
export interface HopSpan {
  /** Value of the `traceparent` header for the next hop, if tracing is on. */
  readonly traceparent: string | undefined;
  /** Ends the span; `failure` names the error kind of a hop that failed. */
  end(failure?: string): void;
}

/** The sides of a hop. */
export type HopKind = 'client' | 'server';

/** Starts spans. */
export interface Tracing {
  /** Starts the span `name` below the hop that `traceparent` names. */
  startHop(
    name: string,
    kind: HopKind,
    traceparent: string | undefined,
    attributes: Readonly<Record<string, string>>,
  ): HopSpan;
  /** Sends what is left. */
  shutdown(): Promise<void>;
}

interface Carrier {
  traceparent: string | undefined;
}

const GETTER: TextMapGetter<Carrier> = {
  get: (carrier, key) =>
    key === 'traceparent' ? carrier.traceparent : undefined,
  keys: () => ['traceparent'],
};

const SETTER: TextMapSetter<Carrier> = {
  set: (carrier, key, value) => {
    if (key === 'traceparent') {
      carrier.traceparent = value;
    }
  },
};

const PROPAGATOR = new W3CTraceContextPropagator();

/** Tracing that passes the caller's context on and records nothing. */
export const NO_TRACING: Tracing = {
  startHop: (_name, _kind, traceparent) => ({
    traceparent,
    end: () => undefined,
  }),
  shutdown: () => Promise.resolve(),
};

/** Tracing that exports to the collector at `url`. */
export function createTracing(hostId: string, url: string): Tracing {
  const provider = new BasicTracerProvider({
    resource: resourceFromAttributes({
      'service.name': 'lacewingwinch',
      'service.instance.id': hostId,
    }),
    spanProcessors: [new BatchSpanProcessor(new OTLPTraceExporter({url}))],
  });
  return tracingOf(provider);
}

/** Tracing over `provider`. */
export function tracingOf(provider: BasicTracerProvider): Tracing {
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
  const parent = PROPAGATOR.extract(ROOT_CONTEXT, {traceparent}, GETTER);
  const span = tracer.startSpan(
    name,
    {
      kind: kind === 'client' ? SpanKind.CLIENT : SpanKind.SERVER,
      attributes,
    },
    parent,
  );
  return {
    traceparent: traceparentOf(span),
    end: failure => {
      if (failure !== undefined) {
        span.setStatus({code: SpanStatusCode.ERROR, message: failure});
      }
      span.end();
    },
  };
}

function traceparentOf(span: Span): string | undefined {
  const carrier: Carrier = {traceparent: undefined};
  PROPAGATOR.inject(trace.setSpan(context.active(), span), carrier, SETTER);
  return carrier.traceparent;
}
