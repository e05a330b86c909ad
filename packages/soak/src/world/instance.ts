/** One instance: a real process that is restarted whenever it ends. */

import {mkdtempSync, renameSync, rmSync, writeFileSync} from 'node:fs';
import {get} from 'node:http';
import {connect} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {READINESS_PATH} from '@snipestage/platform_stand_ins/caller_headers.js';
import {
  composeSettings,
  type InstanceSettings,
} from '@snipestage/platform_stand_ins/settings_text.js';
import {
  LaunchedProcess,
  type Exit,
} from '@snipestage/stand_ins/launch/launched_process.js';
import {Link} from '@snipestage/stand_ins/link/link.js';
import type {DataCentreId, InstanceId} from '@snipestage/types/ids.js';
import type {Disturbance, History, ProcessEnd} from '../history.js';
import {
  LINKS_FILE_VARIABLE,
  type LinkState,
  type ProcessLinks,
} from './link_preamble.js';
import type {ProcessorQuota} from './processor_quota.js';
import {CLOCK_FILE_VARIABLE} from './program.js';

/** Options of {@link Instance}. */
export interface InstanceOptions {
  readonly settings: InstanceSettings;
  readonly program: string;
  readonly history: History;
  /** The link between this instance and the store. */
  readonly storeLink: Link;
  /** Where endpoints listen. */
  readonly endpointLinks: Omit<ProcessLinks, 'state'>;
  readonly nowMs: () => number;
  /** Limits its processes (no limit). */
  readonly quota?: ProcessorQuota;
  /** Callers connect without a link in between (false). */
  readonly connectsDirectly?: boolean;
}

const RESTART_AFTER_MS = 300;
/** A process that still runs this long after its grace time is killed. */
const KILL_MARGIN_MS = 300;
const POLL_MS = 100;
const PROBE_TIMEOUT_MS = 800;
const LISTEN_CHECK_TIMEOUT_MS = 300;
const SETTINGS_VARIABLE = 'SNIPESTAGE_SETTINGS';
const MAX_ERROR_CHARACTERS = 400;
/** Part of a machine's memory that the heap of a process may take. */
const HEAP_SHARE = 0.64;

/** Owns the process, its links to callers and to the store, and its files. */
export class Instance {
  readonly id: InstanceId;
  readonly callerLink: Link;
  /** Number of its process, counted from 1; 0 before the first. */
  processNumber = 0;
  private process: LaunchedProcess | undefined;
  private readonly earlierOutput: string[] = [];
  private cause: ProcessEnd['cause'];
  private signalledAtMs = 0;
  private isClosing = false;
  private wasReady = false;
  /** From a signal or an end until the next process is ready. */
  private restartDisturbance: Disturbance | undefined;
  private readonly folder = mkdtempSync(join(tmpdir(), 'snipestage-soak-'));

  constructor(private readonly options: InstanceOptions) {
    const {instance, host, callersPort} = options.settings;
    this.id = instance;
    this.callerLink = new Link({
      host,
      targetHost: host,
      targetPort: callersPort,
    });
  }

  /** Where callers connect to. */
  get callersAddress(): string {
    const {settings, connectsDirectly = false} = this.options;
    if (!connectsDirectly) return this.callerLink.address;
    return `${settings.host}:${settings.callersPort}`;
  }

  /** Address of its readiness page. */
  get readinessAddress(): string {
    const {host, readinessPort} = this.options.settings;
    return `${host}:${readinessPort}`;
  }

  /** Id of its current process; 0 without one. */
  get processId(): number {
    return this.process?.pid ?? 0;
  }

  get dataCentre(): DataCentreId {
    return this.options.settings.dataCentre;
  }

  get storeLink(): Link {
    return this.options.storeLink;
  }

  /** Whether its process runs and has been neither killed nor told to stop. */
  get isUp(): boolean {
    return this.process?.isRunning === true && this.cause === undefined;
  }

  /** Standard output of all its processes so far. */
  get output(): string {
    return [...this.earlierOutput, this.process?.stdout ?? ''].join('');
  }

  async start(): Promise<void> {
    await this.callerLink.start();
    await this.storeLink.start();
    replaceFile(this.settingsPath, composeSettings(this.options.settings));
    replaceFile(this.clockPath, '0');
    this.writeLinks('pass');
    this.launch();
  }

  /** Kills the process, by its id, and starts no other. */
  async close(): Promise<void> {
    this.isClosing = true;
    this.cause = 'killed';
    await this.process?.kill();
    await this.callerLink.stop();
    await this.storeLink.stop();
    rmSync(this.folder, {recursive: true, force: true});
  }

  kill(): void {
    if (!this.isUp) return;
    this.noteSignal('killed');
    void this.process?.kill();
  }

  terminate(): void {
    if (!this.isUp) return;
    this.noteSignal('terminated');
    const {process: stopping} = this;
    void stopping?.terminate();
    const {graceMs} = this.options.settings.bounds;
    setTimeout(() => void stopping?.kill(), graceMs + KILL_MARGIN_MS).unref();
  }

  freeze(): void {
    this.releaseFromQuota();
    this.process?.freeze();
  }

  thaw(): void {
    this.process?.thaw();
    this.limitToQuota();
  }

  /** Writes the settings file again and signals the process to reload it. */
  reload(): void {
    replaceFile(this.settingsPath, composeSettings(this.options.settings));
    this.signal('SIGHUP');
  }

  /** Cuts the links to all endpoints, or restores them. */
  setEndpointLinks(state: LinkState): void {
    this.writeLinks(state);
    this.signalPreamble();
  }

  /** Sets the offset of the process's time of day from that of the machine. */
  setClockOffset(offsetMs: number): void {
    replaceFile(this.clockPath, String(offsetMs));
    this.signalPreamble();
  }

  private writeLinks(state: LinkState): void {
    const links: ProcessLinks = {...this.options.endpointLinks, state};
    replaceFile(this.linksPath, JSON.stringify(links));
  }

  private signalPreamble(): void {
    // Before its first line has run, the signal would end the process.
    if (this.wasReady) this.signal('SIGUSR2');
  }

  /** Whether callers' connections are not refused. */
  isListening(): Promise<boolean> {
    const {host, callersPort} = this.options.settings;
    return new Promise(resolve => {
      const socket = connect({
        host,
        port: callersPort,
        timeout: LISTEN_CHECK_TIMEOUT_MS,
      });
      const end = (isListening: boolean) => {
        socket.destroy();
        resolve(isListening);
      };
      socket.once('connect', () => end(true));
      socket.once('error', () => end(false));
      // It was not refused: a frozen process accepts it later.
      socket.once('timeout', () => end(true));
    });
  }

  /** Whether its readiness probe succeeds. */
  isReady(): Promise<boolean> {
    const {host, readinessPort} = this.options.settings;
    return new Promise(resolve => {
      const request = get(
        {host, port: readinessPort, path: READINESS_PATH, agent: false},
        response => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      request.setTimeout(PROBE_TIMEOUT_MS, () => request.destroy());
      request.on('error', () => resolve(false));
    });
  }

  private get settingsPath(): string {
    return join(this.folder, 'settings');
  }

  private get linksPath(): string {
    return join(this.folder, 'links');
  }

  private get clockPath(): string {
    return join(this.folder, 'clock');
  }

  private limitToQuota(): void {
    if (this.process?.isRunning) this.options.quota?.limit(this.process.pid);
  }

  private releaseFromQuota(): void {
    if (this.process !== undefined)
      this.options.quota?.release(this.process.pid);
  }

  private signal(name: NodeJS.Signals): void {
    if (this.process?.isRunning) process.kill(this.process.pid, name);
  }

  private noteSignal(cause: 'killed' | 'terminated'): void {
    const {history, nowMs} = this.options;
    this.cause = cause;
    this.signalledAtMs = nowMs();
    this.restartDisturbance ??= history.recordDisturbance(
      this.id,
      cause,
      this.signalledAtMs,
    );
  }

  private launch(): void {
    if (this.process !== undefined)
      this.earlierOutput.push(this.process.stdout);
    this.processNumber += 1;
    this.cause = undefined;
    this.wasReady = false;
    const launched = new LaunchedProcess({
      script: this.options.program,
      env: {
        [SETTINGS_VARIABLE]: this.settingsPath,
        [CLOCK_FILE_VARIABLE]: this.clockPath,
        [LINKS_FILE_VARIABLE]: this.linksPath,
        ...this.limitHeap(),
      },
    });
    this.process = launched;
    this.limitToQuota();
    void launched.exited.then(exit => this.noteEnd(launched, exit));
    void this.waitUntilReady(launched);
  }

  private noteEnd(launched: LaunchedProcess, {code, signal}: Exit): void {
    if (this.isClosing) return;
    const {history, nowMs} = this.options;
    const atMs = nowMs();
    history.ends.push({
      instance: this.id,
      processNumber: this.processNumber,
      cause: this.cause,
      code,
      signal,
      wasReady: this.wasReady,
      tookMs: this.cause === undefined ? 0 : atMs - this.signalledAtMs,
      atMs,
      lastError: launched.stderr.slice(-MAX_ERROR_CHARACTERS),
    });
    this.restartDisturbance ??= history.recordDisturbance(
      this.id,
      'ended',
      atMs,
    );
    setTimeout(() => {
      if (!this.isClosing) this.launch();
    }, RESTART_AFTER_MS);
  }

  /** As deployments do, which leave the rest to buffers. */
  private limitHeap(): Readonly<Record<string, string>> {
    const {limits} = this.options.settings;
    if (limits === undefined) return {};
    const heapMb = Math.floor(limits.memoryMb * HEAP_SHARE);
    return {NODE_OPTIONS: `--max-old-space-size=${heapMb}`};
  }

  private async waitUntilReady(launched: LaunchedProcess): Promise<void> {
    while (launched.isRunning && !(await this.isReady())) {
      await new Promise(done => setTimeout(done, POLL_MS));
    }
    if (!launched.isRunning) return;
    this.wasReady = true;
    // The links may have changed while it started.
    this.signalPreamble();
    if (this.restartDisturbance === undefined) return;
    this.restartDisturbance.toMs = this.options.nowMs();
    this.restartDisturbance = undefined;
  }
}

/** A process that starts meanwhile must not read half of a file. */
function replaceFile(path: string, text: string): void {
  const newPath = `${path}.new`;
  writeFileSync(newPath, text);
  renameSync(newPath, path);
}
