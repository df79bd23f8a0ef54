/**
 * Commands of the stateful fuzzing. A failure prints their names.
 */
import * as fc from 'fast-check';

import {FUZZ_KEY_COUNT} from './fuzz_claims.js';
import {FUZZ_OBJECT_COUNT} from './fuzz_configurations.js';
import {FUZZ_HOST_COUNT} from './fuzz_hosts.js';
import {checkAnswerBuffer, type FuzzSystem} from './fuzz_system.js';

/** Model for fast-check; it is empty because the system holds the oracle. */
export type FuzzModel = Readonly<Record<string, never>>;

type FuzzCommand = fc.Command<FuzzModel, FuzzSystem>;

const HOST = fc.nat(FUZZ_HOST_COUNT - 1);
const KEY = fc.nat(FUZZ_KEY_COUNT - 1);
const OBJECT = fc.nat(FUZZ_OBJECT_COUNT - 1);
const INDEX = fc.nat(20);
const BOOLEAN = fc.boolean();

/** Maximum number of commands in one run. */
const MAXIMUM_COMMANDS = 80;

/** Returns an arbitrary that generates sequences of commands. */
export function fuzzCommands(): fc.Arbitrary<Iterable<FuzzCommand>> {
  return fc.commands(
    [
      fc
        .tuple(HOST, KEY)
        .map(([host, key]) =>
          command(`submit ${host} ${key}`, system =>
            system.claims.submit(host, key),
          ),
        ),
      INDEX.map(index =>
        command(`double ${index}`, system =>
          system.claims.duplicateClaim(index),
        ),
      ),
      HOST.map(host =>
        command(`readClaims ${host}`, system => system.claims.readClaims(host)),
      ),
      fc
        .tuple(INDEX, BOOLEAN)
        .map(([index, isLost]) =>
          command(`send ${index} ${isLost}`, system =>
            system.claims.send(index, isLost),
          ),
        ),
      INDEX.map(index =>
        command(`giveUp ${index}`, system => system.claims.giveUp(index)),
      ),
      fc
        .tuple(INDEX, HOST, BOOLEAN)
        .map(([index, to, isLost]) =>
          command(`handOver ${index} ${to} ${isLost}`, system =>
            system.claims.handOver(index, to, isLost),
          ),
        ),
      fc.constant(
        command('deliverHandover', system => system.claims.deliverHandover()),
      ),
      fc.constant(
        command('deliverAppend', system => system.log.applyNextDelayed()),
      ),
      BOOLEAN.map(isDown =>
        command(`log ${isDown}`, system => {
          system.log.isDown = isDown;
        }),
      ),
      fc
        .tuple(HOST, BOOLEAN)
        .map(([host, isSuspended]) =>
          command(`pause ${host} ${isSuspended}`, system =>
            system.hosts.setSuspended(host, isSuspended),
          ),
        ),
      HOST.map(host => command(`crash ${host}`, system => system.crash(host))),
      fc
        .tuple(HOST, OBJECT, BOOLEAN)
        .map(([host, object, isDelayed]) =>
          command(`publish ${host} ${object} ${isDelayed}`, system =>
            system.configurations.publish(host, object, isDelayed),
          ),
        ),
      fc
        .tuple(HOST, BOOLEAN)
        .map(([host, isDelayed]) =>
          command(`snapshot ${host} ${isDelayed}`, system =>
            system.configurations.snapshot(host, isDelayed),
          ),
        ),
      fc.constant(
        command('retain', system => system.configurations.dropOldestRecord()),
      ),
      HOST.map(host =>
        command(`readConfiguration ${host}`, system =>
          system.configurations.read(host),
        ),
      ),
      fc
        .tuple(HOST, HOST)
        .map(([from, to]) =>
          command(`fetchConfiguration ${from} ${to}`, system =>
            system.configurations.fetchFromHost(from, to),
          ),
        ),
      fc
        .array(fc.tuple(fc.nat(2), fc.nat(6)), {maxLength: 30})
        .map(arrivals =>
          command(`answer ${JSON.stringify(arrivals)}`, () =>
            checkAnswerBuffer(arrivals),
          ),
        ),
    ],
    {maxCommands: MAXIMUM_COMMANDS, size: 'max'},
  );
}

/** Returns a command that is always allowed and prints as `name`. */
function command(name: string, run: (system: FuzzSystem) => void): FuzzCommand {
  return {
    check: () => true,
    run: (_model, system) => run(system),
    toString: () => name,
  };
}
