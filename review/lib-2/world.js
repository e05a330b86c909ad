/** Store, provider and instances of a small deployment on loopback addresses. */

import {spawn} from 'node:child_process';
import {randomInt} from 'node:crypto';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {get} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {performance} from 'node:perf_hooks';
import {setTimeout as pause} from 'node:timers/promises';
import {fileURLToPath, URL} from 'node:url';
import {ProviderStandIn} from '../../platform/stand_ins/dist/provider_stand_in.js';
import {StoreStandIn} from '../../platform/stand_ins/dist/store_stand_in.js';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const ZONES = ['poa-a', 'poa-b', 'floripa-c'];
const READY_WITHIN_MS = 30_000;

/** The `run` command of the deploy file's role. */
export function readRunCommand() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

export class World {
  constructor(record) {
    this.record = record;
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.network = `127.${randomInt(64, 250)}.${randomInt(1, 250)}`;
    this.host = `${this.network}.254`;
    this.store = new StoreStandIn(Math.random);
    this.provider = new ProviderStandIn(Math.random);
    this.processes = new Set();
    this.instances = [];
    this.configurationVersion = 0;
  }

  async start(configuration) {
    this.storePort = await this.store.start(this.host);
    this.providerPort = await this.provider.start(this.host);
    this.writeConfiguration(configuration);
  }

  writeConfiguration(configuration) {
    this.configurationVersion += 3;
    const version = this.configurationVersion;
    this.store.put({table: 'op', key: 'config'}, {version, ...configuration});
  }

  /** Writes a worker's entry, as the worker does itself. */
  writeWorker(id, entry) {
    const base = {
      zone: ZONES[0],
      version: 'v1',
      capacity: 6,
      state: 'ready',
      warmup_left_ms: 0,
      sequence: 1,
    };
    this.store.put({table: 'servers', key: id}, {...base, ...entry});
  }

  /** Starts an instance with the deploy file's command. */
  async startInstance({settings = {}, index = this.instances.length} = {}) {
    const host = `${this.network}.${index + 1}`;
    const zone = ZONES[index % ZONES.length];
    const [front, readiness] = await freePorts(host, 2);
    const text = composeSettings({
      node_name: `edge-${zone}-${index + 1}`,
      ip: host,
      zone,
      'listen.frontend': `${host}:${front}`,
      'listen.readiness': `${host}:${readiness}`,
      'platform.address': `${this.host}:${this.storePort}`,
      'provider.address': `${this.host}:${this.providerPort}`,
      ...settings,
    });
    const path = join(this.folder, `boot-${index}.conf`);
    writeFileSync(path, text);
    const instance = {index, host, front, readiness, path, output: ''};
    this.instances[index] = instance;
    this.launch(instance);
    await this.waitUntilReady(instance);
    return instance;
  }

  launch(instance) {
    const [program, ...args] = readRunCommand();
    const child = spawn(program, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        SNIPESTAGE_SETTINGS: instance.path,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    instance.child = child;
    child.stdout.on('data', text => (instance.output += text));
    child.stderr.on('data', text => (instance.output += text));
    this.processes.add(child);
    child.once('exit', (code, signal) => {
      this.processes.delete(child);
      instance.exit = {code, signal};
    });
  }

  async waitUntilReady(instance) {
    const endsAtMs = performance.now() + READY_WITHIN_MS;
    while (performance.now() < endsAtMs) {
      const status = await statusOf(instance.host, instance.readiness);
      if (status === 200) return;
      await pause(100);
    }
    throw new Error('an instance did not get ready in time');
  }

  /** Starts a process of a script in this folder; resolves with its port. */
  startProcess(script, options) {
    const path = fileURLToPath(new URL(script, import.meta.url));
    const child = spawn('node', [path, JSON.stringify(options)], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    this.processes.add(child);
    child.once('exit', () => this.processes.delete(child));
    return new Promise((resolve, reject) => {
      let rest = '';
      child.once('exit', () => reject(new Error(`${script} has ended`)));
      child.stdout.on('data', text => {
        const lines = (rest + text).split('\n');
        rest = lines.pop();
        for (const line of lines) {
          const message = JSON.parse(line);
          if (message.port !== undefined) resolve({child, ...message});
          else child.emit('said', message);
        }
      });
    });
  }

  async close() {
    for (const child of this.processes) child.kill('SIGKILL');
    this.store.stop();
    this.provider.stop();
    rmSync(this.folder, {recursive: true, force: true});
  }
}

function composeSettings(own) {
  const settings = {
    role: 'entry',
    machine_class: 'edge',
    serves: 'edge',
    region: 'sul-br',
    ...Object.fromEntries(ZONES.map(zone => [`zones.${zone}`, 'sul-br'])),
    internal_port_range: '7340,7355',
    bootstrap: 'true',
    'limits.cpu_fraction': 0.675,
    'limits.cpu_cores': 1,
    'limits.memory_mb': 350,
    'limits.max_fds': 4100,
    'limits.bandwidth_mbps': 1000,
    discovery: 'platform',
    entry_point: 'vip',
    heartbeat_ms: 1200,
    contracts:
      'base,drain,config,cost,retry,recover,engine,stream,tenants,leader,platform',
    'bounds.seed_lag_s': 3,
    'bounds.reuse_after_s': 2,
    'bounds.contact_ms': 3000,
    'bounds.ack_ms': 4000,
    'bounds.catch_up_s': 4,
    'bounds.drain_ms': 2000,
    'bounds.grace_s': 8,
    'bounds.loss_slack_ms': 200,
    'bounds.config_apply_ms': 2000,
    'bounds.rollback_slack_ms': 250,
    'bounds.max_skew_ms': 5000,
    'bounds.fail_closed': 'false',
    'bounds.revoke_ms': 5000,
    'bounds.retry_ratio': 0.2,
    'bounds.retry_window_s': 10,
    'bounds.retry_slack': 56,
    'bounds.fencing_enforced': 'false',
    'bounds.lease_ms': 3000,
    'bounds.thaw_ms': 300,
    'bounds.report_window_s': 5,
    'bounds.usage_tolerance': 0.05,
    'bounds.usage_delay_s': 10,
    'bounds.recovery_s': 12,
    'bounds.delivery_slack_ms': 120,
    'bounds.retry_after_s': 10,
    'platform.form': 'table',
    'platform.writes_per_s': 400,
    'platform.reads_per_s': 2000,
    'provider.rate_per_s': 50,
    'provider.duties': 'metering,scaling',
    'provider.duties_per_s': 50,
    ...own,
  };
  const lines = Object.entries(settings).map(entry => entry.join('='));
  return `${lines.join('\n')}\n`;
}

/** Ports that nothing listens on at an address. */
async function freePorts(host, count) {
  const servers = [];
  for (let index = 0; index < count; index += 1) {
    const server = createServer();
    await new Promise(resolve => server.listen(0, host, resolve));
    servers.push(server);
  }
  const ports = servers.map(server => server.address().port);
  await Promise.all(
    servers.map(server => new Promise(done => server.close(done))),
  );
  return ports;
}

function statusOf(host, port) {
  return new Promise(resolve => {
    const request = get(
      {host, port, path: '/v1/readyz', agent: false, timeout: 500},
      response => {
        response.resume();
        resolve(response.statusCode);
      },
    );
    request.on('timeout', () => request.destroy());
    request.on('error', () => resolve(0));
  });
}
