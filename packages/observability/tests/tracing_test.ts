/** Tests of the spans and of the trace context that is passed on. */
import {
  BasicTracerProvider,
  InMemorySpanExporter,
  SimpleSpanProcessor,
} from '@opentelemetry/sdk-trace-base';
import {describe, expect, it} from 'vitest';

import {createTracingFromProvider, NO_TRACING} from '../src/index.js';

const CLIENT_TRACEPARENT =
  '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01';

describe('tracing', () => {
  it('records a span for each hop under the trace context of the client', () => {
    const exporter = new InMemorySpanExporter();
    const provider = new BasicTracerProvider({
      spanProcessors: [new SimpleSpanProcessor(exporter)],
    });
    const tracing = createTracingFromProvider(provider);
    const request = tracing.startHop(
      'request',
      'server',
      CLIENT_TRACEPARENT,
      {},
    );
    const upstream = tracing.startHop(
      'upstream',
      'client',
      request.traceparent,
      {'upstream.id': 'engine-1'},
    );
    upstream.end('connection-lost');
    request.end();
    const [inner, outer] = exporter.getFinishedSpans();
    expect(outer?.spanContext().traceId).toBe(CLIENT_TRACEPARENT.split('-')[1]);
    expect(outer?.parentSpanContext?.spanId).toBe(
      CLIENT_TRACEPARENT.split('-')[2],
    );
    expect(inner?.parentSpanContext?.spanId).toBe(outer?.spanContext().spanId);
    expect(inner?.status.message).toBe('connection-lost');
    expect(upstream.traceparent).toContain(inner?.spanContext().spanId);
  });

  it('forwards the trace context of the client when it is off', () => {
    const hop = NO_TRACING.startHop(
      'request',
      'server',
      CLIENT_TRACEPARENT,
      {},
    );
    expect(hop.traceparent).toBe(CLIENT_TRACEPARENT);
  });
});
