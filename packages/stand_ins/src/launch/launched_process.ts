/** A child process of a test or script, controlled by its process id. */

import {spawn, type ChildProcess} from 'node:child_process';

/** Options of {@link LaunchedProcess}. */
export interface LaunchOptions {
  /** JavaScript file, run with the Node.js of this process. */
  readonly script: string;
  readonly args?: readonly string[];
  readonly env?: Readonly<Record<string, string>>;
  /** Written to its standard input. */
  readonly input?: string;
}

/** How a process ended. */
export interface Exit {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** Output kept of each stream; older output is dropped. */
const MAX_OUTPUT_CHARACTERS = 1_000_000;
const NODE_ARGUMENTS = ['--no-deprecation', '--enable-source-maps'];

/** One process; its output is captured in memory. */
export class LaunchedProcess {
  readonly exited: Promise<Exit>;
  stdout = '';
  stderr = '';
  private readonly child: ChildProcess;
  private readonly watchers = new Set<() => void>();

  constructor(options: LaunchOptions) {
    this.child = spawn(
      process.execPath,
      [...NODE_ARGUMENTS, options.script, ...(options.args ?? [])],
      {env: {...process.env, ...options.env}, stdio: 'pipe'},
    );
    this.child.stdin?.end(options.input ?? '');
    this.capture('stdout');
    this.capture('stderr');
    this.exited = new Promise(resolve => {
      this.child.once('close', (code, signal) => {
        resolve({code, signal});
        this.notifyWatchers();
      });
    });
  }

  /** Process id; 0 when the process could not be started. */
  get pid(): number {
    return this.child.pid ?? 0;
  }

  get isRunning(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /**
   * Kills the process (`SIGKILL`) and waits for its end.
   *
   * @example
   * await entry.kill();
   */
  async kill(): Promise<Exit> {
    this.child.kill('SIGKILL');
    return this.exited;
  }

  /** Asks the process to shut down (`SIGTERM`) and waits for its end. */
  async terminate(): Promise<Exit> {
    this.child.kill('SIGTERM');
    return this.exited;
  }

  /** Interrupts the process as Ctrl-C does (`SIGINT`) and waits for its end. */
  async interrupt(): Promise<Exit> {
    this.child.kill('SIGINT');
    return this.exited;
  }

  /** Suspends the process (`SIGSTOP`), which simulates a long pause. */
  freeze(): void {
    this.child.kill('SIGSTOP');
  }

  /** Resumes the process after {@link freeze}. */
  thaw(): void {
    this.child.kill('SIGCONT');
  }

  /**
   * Waits for the first complete line of standard output that is a JSON object,
   * and parses it.
   *
   * @throws Error with its standard error when the process ends without one.
   * @example
   * const {url} = await standIn.firstJsonLine<{url: string}>();
   */
  firstJsonLine<T>(): Promise<T> {
    return this.findInOutput(stdout => {
      const line = stdout.split('\n').slice(0, -1).find(isObjectText);
      return line === undefined ? undefined : (JSON.parse(line) as T);
    });
  }

  /**
   * Waits until the standard output matches.
   *
   * @throws Error with its standard error when the process ends before.
   * @example
   * await quickstart.outputMatching(/Ctrl-C/);
   */
  outputMatching(pattern: RegExp): Promise<RegExpExecArray> {
    return this.findInOutput(stdout => pattern.exec(stdout) ?? undefined);
  }

  /** Returns an error with the exit code or signal and the standard error. */
  endedError(): Error {
    const {exitCode, signalCode} = this.child;
    return new Error(
      `Process ${this.pid} ended (${exitCode ?? signalCode}): ${this.stderr}`,
    );
  }

  private async findInOutput<T>(
    find: (stdout: string) => T | undefined,
  ): Promise<T> {
    for (;;) {
      const found = find(this.stdout);
      if (found !== undefined) return found;
      if (!this.isRunning) throw this.endedError();
      await this.nextOutput();
    }
  }

  private nextOutput(): Promise<void> {
    return new Promise(resolve => {
      this.watchers.add(resolve);
    });
  }

  private notifyWatchers(): void {
    for (const watcher of this.watchers) watcher();
    this.watchers.clear();
  }

  private capture(stream: 'stdout' | 'stderr'): void {
    this.child[stream]?.setEncoding('utf8');
    this.child[stream]?.on('data', (text: string) => {
      this[stream] = (this[stream] + text).slice(-MAX_OUTPUT_CHARACTERS);
      this.notifyWatchers();
    });
  }
}

function isObjectText(line: string): boolean {
  return line.startsWith('{');
}
