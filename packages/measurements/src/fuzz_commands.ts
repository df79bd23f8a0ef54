/**
 * The commands of the stateful fuzzing.
 */
import * as fc from 'fast-check';

import {FUZZ_KEYS} from './fuzz_claims.js';
import {FUZZ_OBJECTS} from './fuzz_configurations.js';
import {FUZZ_HOSTS} from './fuzz_hosts.js';
import {checkAnswer, type FuzzWorld} from './fuzz_world.js';

/** The model of fast-check; the world itself holds the oracle. */
export type FuzzModel = Readonly<Record<string, never>>;

type FuzzCommand = fc.Command<FuzzModel, FuzzWorld>;

const HOST = fc.nat(FUZZ_HOSTS - 1);
const KEY = fc.nat(FUZZ_KEYS - 1);
const OBJECT = fc.nat(FUZZ_OBJECTS - 1);
const INDEX = fc.nat(20);
const BOOLEAN = fc.boolean();

/** Commands of one run, at most. */
const MAXIMUM_COMMANDS = 80;

/** Sequences of commands. */
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
        command(`double ${index}`, world => world.claims.doubleClaim(index)),
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
      fc.constant(command('deliverAppend', world => world.log.deliver())),
      BOOLEAN.map(isDown =>
        command(`log ${isDown}`, world => {
          world.log.isDown = isDown;
        }),
      ),
      fc
        .tuple(HOST, BOOLEAN)
        .map(([host, isPaused]) =>
          command(`pause ${host} ${isPaused}`, world =>
            world.hosts.pause(host, isPaused),
          ),
        ),
      HOST.map(host => command(`crash ${host}`, world => world.crash(host))),
      fc
        .tuple(HOST, OBJECT, BOOLEAN)
        .map(([host, object, isLate]) =>
          command(`publish ${host} ${object} ${isLate}`, world =>
            world.configurations.publish(host, object, isLate),
          ),
        ),
      fc
        .tuple(HOST, BOOLEAN)
        .map(([host, isLate]) =>
          command(`snapshot ${host} ${isLate}`, world =>
            world.configurations.snapshot(host, isLate),
          ),
        ),
      fc.constant(command('retain', world => world.configurations.retain())),
      HOST.map(host =>
        command(`readConfiguration ${host}`, world =>
          world.configurations.read(host),
        ),
      ),
      fc
        .tuple(HOST, HOST)
        .map(([from, to]) =>
          command(`fetchConfiguration ${from} ${to}`, world =>
            world.configurations.fetch(from, to),
          ),
        ),
      fc
        .array(fc.tuple(fc.nat(2), fc.nat(6)), {maxLength: 30})
        .map(arrivals =>
          command(`answer ${JSON.stringify(arrivals)}`, () =>
            checkAnswer(arrivals),
          ),
        ),
    ],
    {maxCommands: MAXIMUM_COMMANDS, size: 'max'},
  );
}

function command(name: string, run: (world: FuzzWorld) => void): FuzzCommand {
  return {
    check: () => true,
    run: (_model, world) => run(world),
    toString: () => name,
  };
}
