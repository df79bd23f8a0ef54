/**
 * Whether the process of an upstream lives to which every connection has ended. The
 * platform starts an ended process again after some seconds at the earliest, so that one
 * which answers at once has lived on, also if it states no start.
 */
import {
  decodeReportedStart,
  UPSTREAM_REPORT_PATH,
} from '@lacewingwinch/platform';
import {
  canConnect,
  ConnectFailedError,
  type ExchangeSender,
} from '@lacewingwinch/upstreams';

/** What answers at the address of an upstream. */
export type ProbedProcess =
  /** The process that ran before. */
  | 'same'
  /** A process that started later. */
  | 'other'
  /** A process that does not state its start. */
  | 'unstated'
  /** Nothing accepts a connection of this host. */
  | 'none';

/** The process that is probed. */
export interface ProcessAddress {
  /** IP address and port. */
  readonly address: string;
  /** Its start, as the list stated it; 0 if unknown. */
  readonly bornAt: number;
}

/** Milliseconds allowed to connect; links have a delay of some milliseconds. */
const CONNECT_MILLISECONDS = 150;

/** Milliseconds to wait for the report. */
const REPORT_MILLISECONDS = 300;

/** Idle milliseconds after which a connection is not used for a probe. */
const IDLE_MILLISECONDS = 1000;

/** Connections to one upstream beside which it is not probed. */
const MAXIMUM_CONNECTIONS = 4;

const SUCCESS_STATUS = 200;

/** Start of a process that states none. */
const UNKNOWN_START = 0;

/** The probes of one host; those of the same process at the same time are one. */
export class ProcessProbes {
  /** By address and start. */
  private readonly current = new Map<string, Promise<ProbedProcess>>();

  constructor(private readonly pool: ExchangeSender) {}

  /** Returns what answers at the address of a process. */
  probe(process: ProcessAddress): Promise<ProbedProcess> {
    const key = `${process.address} ${process.bornAt}`;
    const existing = this.current.get(key);
    if (existing !== undefined) {
      return existing;
    }
    const probe = probeProcess(this.pool, process).finally(() =>
      this.current.delete(key),
    );
    this.current.set(key, probe);
    return probe;
  }

  /** Returns whether a process is known to live on, by the start that it reports. */
  async isRunning(process: ProcessAddress): Promise<boolean> {
    return (
      process.bornAt !== UNKNOWN_START && (await this.probe(process)) === 'same'
    );
  }
}

/**
 * Returns what answers at an address: by the report of the process if the list states
 * its start, else by a connection.
 */
async function probeProcess(
  pool: ExchangeSender,
  {address, bornAt}: ProcessAddress,
): Promise<ProbedProcess> {
  if (bornAt === UNKNOWN_START) {
    const isListening = await canConnect(address, CONNECT_MILLISECONDS);
    return isListening ? 'unstated' : 'none';
  }
  const report = await readReport(pool, address);
  if (report.kind === 'none') {
    return 'none';
  }
  const {start} = report;
  if (start === undefined) {
    return 'unstated';
  }
  return start === bornAt ? 'same' : 'other';
}

type Report =
  | {readonly kind: 'none'}
  /** `start`: undefined if the process states none. */
  | {readonly kind: 'answered'; readonly start: number | undefined};

function readReport(pool: ExchangeSender, address: string): Promise<Report> {
  return new Promise(resolve => {
    const chunks: Buffer[] = [];
    let status = 0;
    const exchange = pool.send(
      {
        address,
        method: 'GET',
        path: UPSTREAM_REPORT_PATH,
        headers: [],
        body: undefined,
        maximumIdleMilliseconds: IDLE_MILLISECONDS,
        maximumConnections: MAXIMUM_CONNECTIONS,
        maximumMilliseconds: REPORT_MILLISECONDS,
        connectMilliseconds: CONNECT_MILLISECONDS,
      },
      {
        onSend: () => true,
        onHead: head => {
          ({status} = head);
        },
        onData: chunk => chunks.push(chunk),
        onEnd: () => {
          const start =
            status === SUCCESS_STATUS
              ? decodeReportedStart(Buffer.concat(chunks))
              : undefined;
          resolve({kind: 'answered', start});
        },
        onError: error =>
          resolve(
            error instanceof ConnectFailedError
              ? {kind: 'none'}
              : {kind: 'answered', start: undefined},
          ),
      },
    );
    if (exchange === undefined) {
      resolve({kind: 'answered', start: undefined});
    }
  });
}
