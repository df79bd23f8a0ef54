/**
 * Runs one stand-in as a process: `platform`, `engine` or `plain`. Its first
 * line of output is its address.
 */
import {EngineStandIn} from './engine_stand_in.js';
import {PlainServiceStandIn} from './plain_service_stand_in.js';
import {PlatformStandIn} from './platform_stand_in.js';

const [, , kind] = process.argv;

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
  default:
    process.stderr.write('usage: stand-in platform|engine|plain\n');
    process.exitCode = 2;
}

process.on('SIGTERM', () => process.exit(0));
