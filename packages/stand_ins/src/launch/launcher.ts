/**
 * Starts the processes of tests and scripts and ends only those, by process id.
 * Only tests and scripts use it: no process of the product starts another.
 */

import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import got from 'got';
import type {EntrySettingsInput} from './entry_settings_input.js';
import {
  LaunchedProcess,
  type Exit,
  type LaunchOptions,
} from './launched_process.js';

/** Commands of `main.ts` that {@link Launcher.launchStandIn} can run. */
export type StandInName =
  'platform' | 'engine' | 'engines' | 'service' | 'link';

/** A stand-in process that is ready. */
export interface LaunchedStandIn {
  readonly process: LaunchedProcess;
  readonly url: string;
  /** More than one when the process hosts several stand-ins. */
  readonly urls: readonly string[];
}

/** An entry process. */
export interface LaunchedEntry {
  readonly process: LaunchedProcess;
  readonly settings: EntrySettingsInput;
  readonly callersUrl: string;
  readonly adminUrl: string;
}

/** Options of {@link Launcher.launchEntry}. */
export interface LaunchEntryOptions {
  readonly settings: EntrySettingsInput;
  /** Whether to wait until `/healthz` answers 200; true by default. */
  readonly waitUntilListening?: boolean;
}

/** The exit and the output of a finished command. */
export interface CommandResult extends Exit {
  readonly stdout: string;
  readonly stderr: string;
}

const STAND_INS_SCRIPT = pathTo('../main.js');
const ENTRY_SCRIPT = pathTo('../../../entry/bin/snipestage_entry.js');
const COMMAND_SCRIPT = pathTo('../../../cli/bin/snipestage.js');
const POLL_INTERVAL_MS = 25;
const STATUS_TIMEOUT_MS = 30_000;
const REQUEST_TIMEOUT_MS = 2000;

/** Starts processes and kills those that still run when it is closed. */
export class Launcher {
  private readonly processes = new Set<LaunchedProcess>();
  private readonly folder = mkdtempSync(join(tmpdir(), 'snipestage-'));
  private fileCount = 0;
  private readonly killAll = () => {
    for (const launched of this.processes) void launched.kill();
  };

  constructor() {
    process.once('exit', this.killAll);
  }

  /**
   * Starts a Node.js script.
   *
   * @example
   * const launched = launcher.launch({script: 'dist/main.js'});
   */
  launch(options: LaunchOptions): LaunchedProcess {
    const launched = new LaunchedProcess(options);
    this.processes.add(launched);
    void launched.exited.then(() => this.processes.delete(launched));
    return launched;
  }

  /**
   * Starts a stand-in and waits until it listens.
   *
   * @param options flags of the command, without the leading dashes.
   * @throws Error when the process ends before.
   *
   * @example
   * const engines = await launcher.launchStandIn('engines', {count: '8'});
   */
  async launchStandIn(
    name: StandInName,
    options: Readonly<Record<string, string>> = {},
  ): Promise<LaunchedStandIn> {
    const args = Object.entries(options).flatMap(([key, value]) => [
      `--${key}`,
      value,
    ]);
    const launched = this.launch({
      script: STAND_INS_SCRIPT,
      args: [name, ...args],
    });
    const ready = await launched.firstJsonLine<{
      url: string;
      urls: readonly string[];
    }>();
    return {process: launched, ...ready};
  }

  /**
   * Writes the settings to a file and starts an entry process with it.
   *
   * @throws Error when it is waited for and ends, or isn't up within 30 s.
   *
   * @example
   * const settings = await makeEntrySettings({instance: 'akl-a-1', platformUrl});
   * const entry = await launcher.launchEntry({settings});
   */
  async launchEntry(options: LaunchEntryOptions): Promise<LaunchedEntry> {
    const {settings, waitUntilListening = true} = options;
    const file = this.writeFile(settings);
    const launched = this.launch({
      script: ENTRY_SCRIPT,
      args: ['--settings', file],
    });
    const entry = {
      process: launched,
      settings,
      callersUrl: `http://127.0.0.1:${settings.callers.port}`,
      adminUrl: `http://127.0.0.1:${settings.admin.port}`,
    };
    if (waitUntilListening) await this.waitForStatus(entry, '/healthz');
    return entry;
  }

  /**
   * Waits until an entry process is ready for requests.
   *
   * @throws Error when it ends, or is not ready within 30 s.
   * @example
   * await launcher.waitUntilReady(entry);
   */
  waitUntilReady(entry: LaunchedEntry): Promise<void> {
    return this.waitForStatus(entry, '/readyz');
  }

  /**
   * Runs the operators' command and waits for its end.
   *
   * @example
   * await launcher.runCommand(['status', '--admin-url', entry.adminUrl], {
   *   env: {SNIPESTAGE_OPERATOR_KEY: key},
   * });
   */
  async runCommand(
    args: readonly string[],
    options: Omit<LaunchOptions, 'script' | 'args'> = {},
  ): Promise<CommandResult> {
    const launched = this.launch({...options, script: COMMAND_SCRIPT, args});
    const exit = await launched.exited;
    return {...exit, stdout: launched.stdout, stderr: launched.stderr};
  }

  /**
   * Kills the processes that still run, suspended ones as well, and deletes the
   * files.
   *
   * @example
   * t.teardown(() => launcher.close());
   */
  async close(): Promise<void> {
    await Promise.all([...this.processes].map(launched => launched.kill()));
    process.off('exit', this.killAll);
    rmSync(this.folder, {recursive: true, force: true});
  }

  /** Writes JSON to a file that {@link close} deletes, and returns its path. */
  writeFile(content: object): string {
    this.fileCount += 1;
    const file = join(this.folder, `${this.fileCount}.json`);
    writeFileSync(file, JSON.stringify(content, null, 2));
    return file;
  }

  private async waitForStatus(
    entry: LaunchedEntry,
    path: string,
  ): Promise<void> {
    const deadlineMs = performance.now() + STATUS_TIMEOUT_MS;
    while (!(await answersOk(entry.callersUrl + path))) {
      if (!entry.process.isRunning) throw entry.process.endedError();
      if (performance.now() > deadlineMs) {
        throw new Error(
          `${path} did not answer 200 in time: ${entry.process.stderr}`,
        );
      }
      await delay(POLL_INTERVAL_MS);
    }
  }
}

async function answersOk(url: string): Promise<boolean> {
  try {
    await got(url, {retry: {limit: 0}, timeout: {request: REQUEST_TIMEOUT_MS}});
    return true;
  } catch {
    return false;
  }
}

function pathTo(relative: string): string {
  return fileURLToPath(new URL(relative, import.meta.url));
}
