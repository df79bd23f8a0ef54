/**
 * Serves requests of a few kinds through an entry process that runs in this
 * process, so that V8 compiles the functions which a starting host needs.
 */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {Agent} from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {callRouted} from './routed_client_stand_in.js';
import {RoutedEngineStandIn} from './routed_engine_stand_in.js';
import {
  freeLoopbackAddresses,
  settingsEnvironment,
  settingsFileText,
  waitUntilReadyAt,
} from './settings_file_stand_in.js';
import {StoreStandIn} from './store_stand_in.js';

/** Time that the client of a request allows. */
const DEADLINE_MILLISECONDS = 2000;

const KEY = 'key';

const SERVICES = ['plain', 'plain', 'engines', 'engines'] as const;

const CONFIGURATION = {
  version: 1,
  routes: [
    route('again', 'idempotent', 'plain'),
    route('once', 'non_idempotent', 'plain'),
    {...route('resumed', 'streaming', 'engines'), streamResumption: true},
  ],
  services: [
    {name: 'plain', connectionLimit: 500},
    {name: 'engines', connectionLimit: 500},
  ],
  limits: {},
  tenants: [
    {
      name: 'workspace',
      apiKeys: [KEY],
      unit: 'tokens',
      ratePerS: 1e9,
      burst: 1e9,
    },
  ],
};

const PATHS = ['/again/x', '/once/x', '/resumed/x'] as const;

/** A warm-up of an entry process. */
export interface WarmUp {
  /** Starts the entry process `serve-routes` of `process.argv`. */
  readonly start: () => void;
  readonly requests: number;
}

/** Starts an entry process and sends it requests, one after the other. */
export async function warmUp({start, requests}: WarmUp): Promise<void> {
  const store = new StoreStandIn();
  await store.listen();
  store.put('keyed.op', 'config', CONFIGURATION);
  for (const [index, service] of SERVICES.entries()) {
    const engine = new RoutedEngineStandIn(`i-${index}`);
    engine.isStreamed = service === 'engines';
    await engine.listen();
    store.put('keyed.servers', engine.upstreamId, engine.entry(service));
  }
  const folder = mkdtempSync(join(tmpdir(), 'lacewingwinch-'));
  const path = join(folder, 'settings.toml');
  const addresses = await freeLoopbackAddresses();
  writeFileSync(path, settingsFileText('host', addresses, store.address));
  Object.assign(process.env, settingsEnvironment(path));
  process.argv[2] = 'serve-routes';
  start();
  await waitUntilReadyAt(addresses);
  rmSync(folder, {recursive: true});
  const agent = new Agent({keepAlive: true});
  for (let index = 0; index < requests; index += 1) {
    await callRouted({
      address: addresses.callers,
      path: PATHS[index % PATHS.length] ?? PATHS[0],
      attemptId: `attempt-${index}`,
      key: KEY,
      deadline: DEADLINE_MILLISECONDS,
      body: 'x',
      agent,
      promptParts: `${index}:400,b${index}:300`,
    });
  }
}

function route(name: string, kind: string, service: string): object {
  return {
    name,
    host: 'host.example',
    pathPrefix: `/${name}/`,
    kind,
    service,
    timeoutMs: DEADLINE_MILLISECONDS,
    targetLatencyMs: 200,
    priority: 1,
    maxAttempts: 2,
  };
}
