/**
 * How an entry process divides its memory and its descriptors among those that it
 * serves. The parts add up to less than the whole: the rest is for the program, its
 * connections to upstreams, the store and other hosts, and memory that is free again
 * but not collected yet.
 */

/** What a process may use. */
export interface ProcessResources {
  /** Bytes of memory; 0 if they are not limited. */
  readonly memoryBytes: number;
  /** Bytes of the heap of the runtime. */
  readonly heapBytes: number;
  /** Number of open descriptors; 0 if they are not limited. */
  readonly fileDescriptors: number;
}

/** A server of an entry process. */
export type ServerName =
  | 'callers'
  | 'discovery'
  | 'metrics'
  | 'operators'
  | 'peers'
  | 'readiness'
  | 'relay';

/** What the servers of a process may use together, and each of them. */
export interface ServingLimits {
  /** Bytes that requests and responses of clients may take together. */
  readonly clientBytes: number;
  /** The same while the configuration allows bodies that need more. */
  readonly largestClientBytes: number;
  /** Bytes among them for requests that were received completely. */
  readonly requestBytes: number;
  /** Maximum number of connections to upstreams. */
  readonly upstreamConnections: number;
  /** Maximum number of connections that each server accepts. */
  readonly connections: Readonly<Record<ServerName, number>>;
}

/** Bytes that a process without clients takes. */
const PROGRAM_BYTES = 90 * 1024 * 1024;

/** Share of the memory beside the program for requests and responses. */
const CLIENT_SHARE = 0.2;

/** The same if a single request may be larger than that. */
const LARGEST_CLIENT_SHARE = 0.45;

/** Share of the heap for requests that were received completely. */
const REQUEST_HEAP_SHARE = 0.3;

/** Share of the bytes of clients for requests that were received completely. */
const REQUEST_SHARE = 0.6;

/** Bytes of clients that a process has in any case. */
const MINIMUM_CLIENT_BYTES = 8 * 1024 * 1024;

/** Bytes that a connection takes besides what is sent over it. */
const CONNECTION_BYTES = 12 * 1024;

/** Share of the memory, and of the heap, for connections of clients. */
const CONNECTION_SHARE = 0.12;

/** Descriptors for files and for what the runtime opens for itself. */
const FILE_DESCRIPTORS = 200;

/** Connections that a server accepts in any case. */
const MINIMUM_CONNECTIONS = 8;

/** Share of the descriptors for connections to upstreams. */
const UPSTREAM_DESCRIPTOR_SHARE = 0.25;

/**
 * Shares of the descriptors for the connections that each server accepts. The rest is
 * for connections to other hosts and to the store.
 */
const DESCRIPTOR_SHARES: Readonly<Record<ServerName, number>> = {
  callers: 0.42,
  discovery: 0.05,
  metrics: 0.02,
  operators: 0.02,
  peers: 0.1,
  readiness: 0.02,
  relay: 0.04,
};

/** Returns the limits of a process with `resources`. */
export function servingLimitsOf(resources: ProcessResources): ServingLimits {
  const {memoryBytes, heapBytes} = resources;
  const clientBytes = bytesBesideProgram(memoryBytes, CLIENT_SHARE);
  const connectionsOf = (server: ServerName): number =>
    Math.min(
      connectionsInMemory(resources),
      connectionsInDescriptors(resources, DESCRIPTOR_SHARES[server]),
    );
  return {
    clientBytes,
    largestClientBytes: bytesBesideProgram(memoryBytes, LARGEST_CLIENT_SHARE),
    requestBytes: Math.min(
      REQUEST_SHARE * clientBytes,
      REQUEST_HEAP_SHARE * heapBytes,
    ),
    upstreamConnections: connectionsInDescriptors(
      resources,
      UPSTREAM_DESCRIPTOR_SHARE,
    ),
    connections: {
      callers: connectionsOf('callers'),
      discovery: connectionsOf('discovery'),
      metrics: connectionsOf('metrics'),
      operators: connectionsOf('operators'),
      peers: connectionsOf('peers'),
      readiness: connectionsOf('readiness'),
      relay: connectionsOf('relay'),
    },
  };
}

function bytesBesideProgram(memoryBytes: number, share: number): number {
  return memoryBytes === 0
    ? Infinity
    : Math.max(MINIMUM_CLIENT_BYTES, share * (memoryBytes - PROGRAM_BYTES));
}

function connectionsInMemory({
  memoryBytes,
  heapBytes,
}: ProcessResources): number {
  const bytes = Math.min(heapBytes, memoryBytes || Infinity);
  return atLeastMinimum((CONNECTION_SHARE * bytes) / CONNECTION_BYTES);
}

function connectionsInDescriptors(
  {fileDescriptors}: ProcessResources,
  share: number,
): number {
  return fileDescriptors === 0
    ? Infinity
    : atLeastMinimum(share * (fileDescriptors - FILE_DESCRIPTORS));
}

function atLeastMinimum(connections: number): number {
  return Math.max(MINIMUM_CONNECTIONS, Math.floor(connections));
}
