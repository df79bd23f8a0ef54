/**
 * Connections and calls to model engines and plain services.
 */
export * from './can_connect.js';
export {CheckNotMetError, OtherProcessError} from './checked_exchange.js';
export * from './connection_pool.js';
export * from './engine_events.js';
export * from './model_engine.js';
export * from './plain_service.js';
export type {
  AnswerHead,
  ConnectionCheck,
  PooledExchange,
  PooledReceiver,
  PooledRequest,
  SendingConnection,
} from './pooled_exchange.js';
export * from './upstream_connections.js';
export * from './upstream_error.js';
export type {ExchangeCarrier, UpstreamRequest} from './upstream_exchange.js';
export * from './upstream_exchange.js';
export {
  ConnectFailedError,
  createUpstreamConnector,
} from './upstream_socket.js';
