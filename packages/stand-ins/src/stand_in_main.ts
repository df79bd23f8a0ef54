/**
 * Runs one stand-in as a process: `platform`, `engine`, `plain` or `links`. Its
 * first line of output is its address, or the addresses of the links; those take
 * orders over their input and confirm them.
 */
import {createInterface} from 'node:readline';

import {EngineStandIn} from './engine_stand_in.js';
import {LinkStandIn} from './link_stand_in.js';
import {PlainServiceStandIn} from './plain_service_stand_in.js';
import {PlatformStandIn} from './platform_stand_in.js';

const [, , kind, ...targets] = process.argv;

switch (kind ?? '') {
  case 'platform': {
    const platform = new PlatformStandIn();
    await platform.listen();
    process.stdout.write(`${platform.url}\n`);
    break;
  }
  case 'engine': {
    const engine = new EngineStandIn();
    await engine.listen();
    process.stdout.write(`${engine.address}\n`);
    break;
  }
  case 'plain': {
    const service = new PlainServiceStandIn();
    await service.listen();
    process.stdout.write(`${service.address}\n`);
    break;
  }
  case 'links': {
    const links = new LinkStandIn(targets);
    await links.listen();
    process.stdout.write(`${links.addresses.join(',')}\n`);
    for await (const order of createInterface({input: process.stdin})) {
      await links.setFault(
        order === 'reset' || order === 'refuse-new' ? order : undefined,
      );
      process.stdout.write(`${order}\n`);
    }
    break;
  }
  default:
    process.stderr.write('usage: stand-in platform|engine|plain|links\n');
    process.exitCode = 2;
}

process.on('SIGTERM', () => process.exit(0));
