/**
 * Commands of the stateful fuzzing. A failure prints their names.
 */
import * as fc from 'fast-check';

import {FUZZ_KEY_COUNT} from './fuzz_claims.js';
import {FUZZ_OBJECT_COUNT} from './fuzz_configurations.js';
import {FUZZ_HOST_COUNT} from './fuzz_hosts.js';
import {checkAnswerBuffer, type FuzzWorld} from './fuzz_world.js';

/** Model for fast-check; it is empty because the world holds the oracle. */
export type FuzzModel = Readonly<Record<string, never>>;

type FuzzCommand = fc.Command<FuzzModel, FuzzWorld>;

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
          command(`submit ${host} ${key}`, world =>
            world.claims.submit(host, key),
          ),
        ),
      INDEX.map(index =>
        command(`double ${index}`, world => world.claims.duplicateClaim(index)),
      ),
      HOST.map(host =>
        command(`readClaims ${host}`, world => world.claims.readClaims(host)),
      ),
      fc
        .tuple(INDEX, BOOLEAN)
        .map(([index, isLost]) =>
          command(`send ${index} ${isLost}`, world =>
            world.claims.send(index, isLost),
          ),
        ),
      INDEX.map(index =>
        command(`giveUp ${index}`, world => world.claims.giveUp(index)),
      ),
      fc
        .tuple(INDEX, HOST, BOOLEAN)
        .map(([index, to, isLost]) =>
          command(`handOver ${index} ${to} ${isLost}`, world =>
            world.claims.handOver(index, to, isLost),
          ),
        ),
      fc.constant(
        command('deliverHandover', world => world.claims.deliverHandover()),
      ),
      fc.constant(
        command('deliverAppend', world => world.log.applyNextDelayed()),
      ),
      BOOLEAN.map(isDown =>
        command(`log ${isDown}`, world => {
          world.log.isDown = isDown;
        }),
      ),
      fc
        .tuple(HOST, BOOLEAN)
        .map(([host, isSuspended]) =>
          command(`pause ${host} ${isSuspended}`, world =>
            world.hosts.setSuspended(host, isSuspended),
          ),
        ),
      HOST.map(host => command(`crash ${host}`, world => world.crash(host))),
      fc
        .tuple(HOST, OBJECT, BOOLEAN)
        .map(([host, object, isDelayed]) =>
          command(`publish ${host} ${object} ${isDelayed}`, world =>
            world.configurations.publish(host, object, isDelayed),
          ),
        ),
      fc
        .tuple(HOST, BOOLEAN)
        .map(([host, isDelayed]) =>
          command(`snapshot ${host} ${isDelayed}`, world =>
            world.configurations.snapshot(host, isDelayed),
          ),
        ),
      fc.constant(
        command('retain', world => world.configurations.dropOldestRecord()),
      ),
      HOST.map(host =>
        command(`readConfiguration ${host}`, world =>
          world.configurations.read(host),
        ),
      ),
      fc
        .tuple(HOST, HOST)
        .map(([from, to]) =>
          command(`fetchConfiguration ${from} ${to}`, world =>
            world.configurations.fetchFromHost(from, to),
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
function command(name: string, run: (world: FuzzWorld) => void): FuzzCommand {
  return {
    check: () => true,
    run: (_model, world) => run(world),
    toString: () => name,
  };
}
