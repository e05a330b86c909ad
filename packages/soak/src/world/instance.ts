/** One instance: a real process that is started again whenever it ends. */

import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
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
import {CLOCK_FILE_VARIABLE} from './program.js';

/** What an {@link Instance} is made from. */
export interface InstanceOptions {
  readonly settings: InstanceSettings;
  readonly program: string;
  readonly history: History;
  /** Its own way to the store. */
  readonly storeWay: Link;
  readonly nowMs: () => number;
}

const RESTART_AFTER_MS = 300;
/** A process that has not ended by then did not keep to its grace time. */
const KILL_MARGIN_MS = 300;
const POLL_MS = 100;
const PROBE_TIMEOUT_MS = 800;
const LISTEN_CHECK_MS = 300;
const SETTINGS_VARIABLE = 'SNIPESTAGE_SETTINGS';
const MOST_ERROR_CHARACTERS = 400;

/** Owns the process, the ways to it and its files. */
export class Instance {
  readonly id: InstanceId;
  readonly callersWay: Link;
  /** Counts its processes. */
  life = 0;
  private process: LaunchedProcess | undefined;
  private cause: ProcessEnd['cause'];
  private signalledAtMs = 0;
  private isClosing = false;
  private wasReady = false;
  /** From a kill until the process that follows is ready. */
  private restart: Disturbance | undefined;
  private readonly folder = mkdtempSync(join(tmpdir(), 'snipestage-soak-'));

  constructor(private readonly options: InstanceOptions) {
    const {instance, host, callersPort} = options.settings;
    this.id = instance;
    this.callersWay = new Link({
      host,
      targetHost: host,
      targetPort: callersPort,
    });
  }

  get dataCentre(): DataCentreId {
    return this.options.settings.dataCentre;
  }

  get storeWay(): Link {
    return this.options.storeWay;
  }

  /** Whether a process is there and has not been told to stop. */
  get isUp(): boolean {
    return this.process?.isRunning === true && this.cause === undefined;
  }

  /** What its last process wrote. */
  get output(): string {
    return this.process?.stdout ?? '';
  }

  async start(): Promise<void> {
    await this.callersWay.start();
    await this.storeWay.start();
    writeFileSync(this.settingsPath, composeSettings(this.options.settings));
    writeFileSync(this.clockPath, '0');
    this.launch();
  }

  /** Ends the process, by its id, and starts no other. */
  async close(): Promise<void> {
    this.isClosing = true;
    this.cause = 'killed';
    await this.process?.kill();
    await this.callersWay.stop();
    await this.storeWay.stop();
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
    this.process?.freeze();
  }

  thaw(): void {
    this.process?.thaw();
  }

  /** The settings file is written anew and the process told. */
  reload(): void {
    writeFileSync(this.settingsPath, composeSettings(this.options.settings));
    this.signal('SIGHUP');
  }

  /** The process's time of day is off by this from now on. */
  setClockOffset(offsetMs: number): void {
    writeFileSync(this.clockPath, String(offsetMs));
    this.signal('SIGUSR2');
  }

  /** Whether it does not refuse callers' connections. */
  isListening(): Promise<boolean> {
    const {host, callersPort} = this.options.settings;
    return new Promise(resolve => {
      const socket = connect({
        host,
        port: callersPort,
        timeout: LISTEN_CHECK_MS,
      });
      const end = (isListening: boolean) => {
        socket.destroy();
        resolve(isListening);
      };
      socket.once('connect', () => end(true));
      socket.once('error', () => end(false));
      // Nobody refused it: a process that is frozen accepts later.
      socket.once('timeout', () => end(true));
    });
  }

  /** Whether it says that it is ready. */
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

  private get clockPath(): string {
    return join(this.folder, 'clock');
  }

  private signal(name: NodeJS.Signals): void {
    if (this.process?.isRunning) process.kill(this.process.pid, name);
  }

  private noteSignal(cause: 'killed' | 'terminated'): void {
    const {history, nowMs} = this.options;
    this.cause = cause;
    this.signalledAtMs = nowMs();
    this.restart ??= history.disturb(this.id, cause, this.signalledAtMs);
  }

  private launch(): void {
    this.life += 1;
    this.cause = undefined;
    this.wasReady = false;
    const launched = new LaunchedProcess({
      script: this.options.program,
      env: {
        [SETTINGS_VARIABLE]: this.settingsPath,
        [CLOCK_FILE_VARIABLE]: this.clockPath,
      },
    });
    this.process = launched;
    void launched.exited.then(exit => this.noteEnd(launched, exit));
    void this.waitUntilReady(launched);
  }

  private noteEnd(launched: LaunchedProcess, {code, signal}: Exit): void {
    if (this.isClosing) return;
    const {history, nowMs} = this.options;
    const atMs = nowMs();
    history.ends.push({
      instance: this.id,
      life: this.life,
      cause: this.cause,
      code,
      signal,
      wasReady: this.wasReady,
      tookMs: this.cause === undefined ? 0 : atMs - this.signalledAtMs,
      atMs,
      lastError: launched.stderr.slice(-MOST_ERROR_CHARACTERS),
    });
    this.restart ??= history.disturb(this.id, 'ended', atMs);
    setTimeout(() => {
      if (!this.isClosing) this.launch();
    }, RESTART_AFTER_MS);
  }

  private async waitUntilReady(launched: LaunchedProcess): Promise<void> {
    while (launched.isRunning && !(await this.isReady())) {
      await new Promise(done => setTimeout(done, POLL_MS));
    }
    if (!launched.isRunning) return;
    this.wasReady = true;
    if (this.restart === undefined) return;
    this.restart.toMs = this.options.nowMs();
    this.restart = undefined;
  }
}
