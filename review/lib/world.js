/** One store, one provider, workers and router processes on loopback addresses. */

import {spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {get} from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setTimeout} from 'node:timers';
import {fileURLToPath, URL} from 'node:url';
import {writeConfiguration} from '../../platform/stand_ins/dist/operator_rows.js';
import {ProviderStandIn} from '../../platform/stand_ins/dist/provider_stand_in.js';
import {composeSettings} from '../../platform/stand_ins/dist/settings_text.js';
import {StoreStandIn} from '../../platform/stand_ins/dist/store_stand_in.js';
import {pickFreePorts} from '../../packages/stand_ins/dist/launch/free_ports.js';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const READY_WITHIN_MS = 20_000;
/** The bounds of the small sites. */
export const BOUNDS = {
  contactMs: 3000,
  configurationMs: 2000,
  drainMs: 2000,
  graceMs: 8000,
  lossSlackMs: 200,
  leaseMs: 3000,
  usageWindowMs: 5000,
  usageDelayMs: 10_000,
};
export const HOST = 'review.example';
export const KEY = 'review-key';
export const TENANT = 'shop-1';

/** Resolves after a time. */
export function pause(ms) {
  return new Promise(done => setTimeout(done, ms));
}

/** Reads the `run` command of the deploy file's only role. */
function readRunCommand() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

/** A route as the stand-in of the operator writes it. */
export function describeRoute(id, kind, service, more = {}) {
  return {
    id,
    host: HOST,
    pathPrefix: `/${id}/`,
    kind,
    targets: [{service, weight: 1}],
    timeoutMs: 8000,
    latencyTargetMs: 500,
    pauseTargetMs: kind === 'stream' ? 600 : undefined,
    tier: 1,
    maxAttempts: kind === 'idempotent' ? 2 : 1,
    isPublic: false,
    isResumable: false,
    ...more,
  };
}

/** One router process; it is started again by {@link Router.start} only. */
export class Router {
  ends = [];
  output = '';
  constructor(world, settings) {
    this.world = world;
    this.settings = settings;
    this.file = join(world.folder, `${settings.instance}.conf`);
    const more = [
      'machine_class=edge',
      'serves=edge',
      'region=nz-north',
      'limits.memory_mb=350',
      'limits.cpu_cores=1',
      'limits.max_fds=4100',
      'heartbeat_ms=1200',
      'contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,leader,platform',
    ];
    writeFileSync(
      this.file,
      `${composeSettings(settings)}${more.join('\n')}\n`,
    );
  }

  get isRunning() {
    return this.child?.exitCode === null && this.child.signalCode === null;
  }

  start() {
    const [program, ...args] = readRunCommand();
    this.child = spawn(program, args, {
      cwd: ROOT,
      env: {PATH: process.env.PATH, SNIPESTAGE_SETTINGS: this.file},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const {child} = this;
    child.stdout.on('data', data => (this.output += data));
    let errors = '';
    child.stderr.on('data', data => (errors += data));
    this.exited = new Promise(done => {
      child.once('close', (code, signal) => {
        const end = {atMs: this.world.nowMs(), code, signal, errors};
        this.ends.push(end);
        done(end);
      });
    });
  }

  signal(name) {
    if (this.isRunning) this.child.kill(name);
  }

  isReady() {
    const {host, readinessPort: port} = this.settings;
    return new Promise(done => {
      const call = get(
        {host, port, path: '/v1/readyz', agent: false},
        response => {
          response.resume();
          done(response.statusCode === 200);
        },
      );
      call.setTimeout(800, () => call.destroy());
      call.on('error', () => done(false));
    });
  }

  async whenReady() {
    const untilMs = performance.now() + READY_WITHIN_MS;
    while (!(await this.isReady())) {
      if (performance.now() > untilMs || !this.isRunning)
        throw new Error(`${this.settings.instance} does not get ready`);
      await pause(50);
    }
  }

  async stop() {
    if (this.child === undefined) return;
    this.signal('SIGCONT');
    this.signal('SIGKILL');
    await this.exited;
  }
}

/** Owns all parts of one run and its record. */
export class World {
  store = new StoreStandIn(Math.random);
  provider = new ProviderStandIn(Math.random);
  routers = [];
  lines = [];
  closers = [];
  version = 1;

  constructor(recordPath) {
    this.recordPath = recordPath;
    this.folder = mkdtempSync(join(tmpdir(), 'snipestage-review-'));
    this.beganAtMs = performance.now();
    this.network = `127.${60 + (process.pid % 150)}.${(process.pid >> 8) % 250}`;
  }

  nowMs() {
    return Math.round(performance.now() - this.beganAtMs);
  }

  note(text) {
    this.lines.push(`${String(this.nowMs()).padStart(6)} ms ${text}`);
  }

  /** Address of the store, the provider and the workers. */
  get platformHost() {
    return `${this.network}.254`;
  }

  /** Writes the next version of the desired state. */
  configure({routes, services}) {
    this.version += 1;
    this.note(`operator writes version ${this.version}`);
    return writeConfiguration(this.store, {
      version: this.version,
      routes,
      services,
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 4_194_304,
        headerTimeoutMs: 5000,
        idleTimeoutMs: 30_000,
      },
      clientAccounts: [{id: TENANT, keys: [KEY], tier: undefined}],
    });
  }

  async startPlatform() {
    this.storePort = await this.store.start(this.platformHost);
    this.providerPort = await this.provider.start(this.platformHost);
  }

  /** Starts router processes and waits until they are ready. */
  async startRouters(count, {zones = ['akl-a'], storeAddressOf} = {}) {
    for (let index = 0; index < count; index += 1) {
      const ports = await pickFreePorts(3);
      const [callersPort, readinessPort, peerPort] = ports.sort(
        (a, b) => a - b,
      );
      const zone = zones[index % zones.length];
      const store = `${this.platformHost}:${this.storePort}`;
      const router = new Router(this, {
        instance: `edge-${zone}-${index + 1}`,
        dataCentre: zone,
        host: `${this.network}.${index + 1}`,
        callersPort,
        readinessPort,
        storeAddress: storeAddressOf?.(index) ?? store,
        providerAddress: `${this.platformHost}:${this.providerPort}`,
        bounds: BOUNDS,
        dataCentres: zones,
        peerPort,
      });
      this.routers.push(router);
      router.start();
    }
    for (const router of this.routers) await router.whenReady();
    this.note(`${count} routers are ready`);
  }

  onClose(close) {
    this.closers.push(close);
  }

  async close() {
    for (const router of this.routers) await router.stop();
    for (const close of this.closers) await close();
    this.store.stop();
    this.provider.stop();
    rmSync(this.folder, {recursive: true, force: true});
    writeFileSync(this.recordPath, `${this.lines.join('\n')}\n`);
  }
}

/**
 * Runs a case and exits with 0 (the rule held), 1 (it was broken) or 2 (the
 * case could not run).
 *
 * @param run resolves with the faults that were seen, as texts.
 */
export async function runCase(recordPath, run) {
  const world = new World(recordPath);
  const limit = setTimeout(() => {
    world.note('the case took too long');
    void world.close().finally(() => process.exit(2));
  }, 110_000);
  let status = 2;
  try {
    const faults = await run(world);
    for (const fault of faults) world.note(`BROKEN ${fault}`);
    if (faults.length === 0) world.note('the rule held');
    status = faults.length === 0 ? 0 : 1;
    console.log(faults.length === 0 ? 'held' : faults.join('\n'));
  } catch (error) {
    world.note(`could not run: ${error.stack}`);
    console.error(error);
  }
  clearTimeout(limit);
  await world.close();
  process.exit(status);
}
