/**
 * Preloaded into an entry process. Shifts its time of day by the number of
 * milliseconds that the parent process sends, connects to upstreams and other
 * entry hosts through their links, and exits with the parent.
 */
import {Socket} from 'node:net';

/** Name of the variable with the port of the link to each port, as JSON. */
const LINKS_VARIABLE = 'SOAK_LINKS';

const links = new Map(
  Object.entries(
    JSON.parse(process.env[LINKS_VARIABLE] ?? '{}') as Readonly<
      Record<string, string>
    >,
  ),
);

interface ConnectOptions {
  port?: number | string;
}

/** The options are the first argument, or the first entry of it. */
function optionsOf(argument: unknown): ConnectOptions | undefined {
  const options: unknown = Array.isArray(argument) ? argument[0] : argument;
  return typeof options === 'object' && options !== null ? options : undefined;
}

// eslint-disable-next-line @typescript-eslint/unbound-method
const connectDirectly = Socket.prototype.connect as (
  this: Socket,
  ...parameters: readonly unknown[]
) => Socket;

Socket.prototype.connect = function connectThroughLink(
  this: Socket,
  ...parameters: readonly unknown[]
): Socket {
  const options = optionsOf(parameters[0]);
  const link = links.get(String(options?.port));
  if (options !== undefined && link !== undefined) {
    options.port = link;
  }
  return connectDirectly.call(this, ...parameters);
};

const readTimeOfDay = Date.now.bind(Date);
let offsetMilliseconds = 0;

Date.now = () => readTimeOfDay() + offsetMilliseconds;

process.on('message', (message: unknown) => {
  if (typeof message === 'number') {
    offsetMilliseconds = message;
  }
});

// Entry processes must not outlive a soak run that is killed.
process.on('disconnect', () => process.exit(1));

// The channel to the parent must not keep the process running.
process.channel?.unref();
