/** Tests of the configuration in force, with real entry processes. */
import {
  callPlain,
  Fleet,
  type FleetObject,
  KEY_ONE,
  waitFor,
} from '@lacewingwinch/stand-ins';
import {afterEach, describe, expect, it} from 'vitest';

let fleet: Fleet;

afterEach(() => fleet.close());

/** Milliseconds within which a change must be in force at every host. */
const IN_FORCE_MILLISECONDS = 7000;

function service(name: string): FleetObject {
  return {kind: 'service', name, upstreamKind: 'plain'};
}

async function versions(): Promise<readonly number[]> {
  const statuses = await Promise.all(
    fleet.entries.map(entry => fleet.status(entry)),
  );
  return statuses.map(({configurationVersion}) => configurationVersion);
}

async function outcomes(publishId: string): Promise<readonly unknown[]> {
  return Promise.all(
    fleet.entries.map(async ({operators}) => {
      const answer = await fetch(`http://${operators}/outcomes/${publishId}`);
      return answer.json();
    }),
  );
}

async function waitForVersion(version: number): Promise<void> {
  await waitFor(
    `version ${version} is in force`,
    async () => (await versions()).every(seen => seen === version),
    IN_FORCE_MILLISECONDS,
  );
}

describe('a configuration change', () => {
  it('is in force at every host within 7 s', async () => {
    fleet = await Fleet.start({entryDomains: ['east', 'west', 'north']});
    const version = fleet.publish(service('fresh'), -1, 'p1');
    await waitForVersion(version);
  });

  it('made by two operators at once is decided alike at every host', async () => {
    fleet = await Fleet.start({entryDomains: ['east', 'west', 'north']});
    const version = fleet.publish(service('raced'), -1, 'first');
    fleet.publish({...service('raced'), claimWindowSeconds: 5}, -1, 'second');
    await waitForVersion(version);
    await waitFor('every host has rejected the second change', async () => {
      const decided = await outcomes('second');
      return decided.every(
        outcome => (outcome as {readonly kind?: string}).kind === 'conflict',
      );
    });
    expect(await outcomes('first')).toEqual(
      fleet.entries.map(() => ({kind: 'accepted', version})),
    );
  });

  it('reaches hosts from their peers while the log cannot be read', async () => {
    fleet = await Fleet.start({entryDomains: ['east', 'west', 'north']});
    const [previousVersion] = await versions();
    // Only one host has read the change when the log goes down.
    const [suspended, ahead] = [fleet.entry(0), fleet.entry(1)];
    suspended.process.child.kill('SIGSTOP');
    const version = fleet.publish(service('late'), -1, 'p2');
    await waitFor('one host has the change', async () => {
      const status = await fleet.status(ahead);
      return status.configurationVersion === version;
    });
    fleet.platform.log.faults.outage = 'down';
    suspended.process.child.kill('SIGCONT');
    await waitForVersion(version);
    expect(version).toBeGreaterThan(previousVersion ?? 0);
  });

  it('is served by a host that starts while the log is down', async () => {
    fleet = await Fleet.start({
      entryDomains: ['east', 'west'],
      plainServices: 1,
    });
    const [version] = await versions();
    fleet.platform.log.faults.outage = 'down';
    await fleet.startEntries(['north']);
    await waitFor('the new host serves', async () => {
      const status = await fleet.status(fleet.entry(2));
      return (
        status.status === 'serving' && status.configurationVersion === version
      );
    });
    await waitFor('the new host answers', async () => {
      const answer = await callPlain(fleet.entry(2), KEY_ONE, 'lookup', 'x');
      return answer.status === 200;
    });
  });

  it('never reverts once its record is no longer retained, and reaches a new host', async () => {
    fleet = await Fleet.start({
      entryDomains: ['east', 'west'],
      entryFlags: ['--snapshot-seconds=1'],
    });
    const version = fleet.publish(service('kept'), -1, 'p3');
    await waitForVersion(version);
    const {log} = fleet.platform;
    await waitFor('a snapshot covers the change', () =>
      log
        .records('configuration')
        .some(
          ({offset, data}) =>
            offset > version &&
            (data as {readonly type: string}).type === 'snapshot',
        ),
    );
    log.dropRecordsBefore('configuration', version + 1);
    await fleet.startEntries(['north']);
    await waitForVersion(version);
    const next = fleet.publish(service('kept'), version, 'p4');
    await waitForVersion(next);
  });

  it('that is malformed is rejected at every host, and later ones take effect', async () => {
    fleet = await Fleet.start({entryDomains: ['east', 'west']});
    const [previousVersion] = await versions();
    fleet.publish(
      {kind: 'service', name: 'broken', upstreamKind: 'x'},
      -1,
      'p5',
    );
    fleet.platform.log.append('configuration', {anything: true});
    const version = fleet.publish(service('after'), -1, 'p6');
    await waitForVersion(version);
    const decided = await outcomes('p5');
    const kinds = decided.map(
      outcome => (outcome as {readonly kind?: string}).kind,
    );
    expect(kinds).toEqual(['invalid', 'invalid']);
    expect(version).toBeGreaterThan(previousVersion ?? 0);
  });
});
