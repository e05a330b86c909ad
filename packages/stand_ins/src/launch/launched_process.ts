/** A child process of a test or script, known by its id. */

import {spawn, type ChildProcess} from 'node:child_process';

/** What to start. */
export interface LaunchOptions {
  /** JavaScript file, run by this same Node.js. */
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

/** Output kept of each stream; older text is dropped. */
const MOST_OUTPUT_CHARACTERS = 1_000_000;
const NODE_ARGUMENTS = ['--no-deprecation', '--enable-source-maps'];

/** One process; its output stays in memory. */
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
        this.tellWatchers();
      });
    });
  }

  /** Its process id. */
  get pid(): number {
    return this.child.pid ?? 0;
  }

  get isRunning(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /**
   * Ends it without warning.
   *
   * @example
   * await entry.kill();
   */
  async kill(): Promise<Exit> {
    this.child.kill('SIGKILL');
    return this.exited;
  }

  /** Asks it to end in good order, and waits until it has. */
  async terminate(): Promise<Exit> {
    this.child.kill('SIGTERM');
    return this.exited;
  }

  /** Ends it as Ctrl-C does, and waits until it has. */
  async interrupt(): Promise<Exit> {
    this.child.kill('SIGINT');
    return this.exited;
  }

  /** Stops it where it is, as a long pause does. */
  freeze(): void {
    this.child.kill('SIGSTOP');
  }

  /** Lets it go on after {@link freeze}. */
  thaw(): void {
    this.child.kill('SIGCONT');
  }

  /**
   * Waits for a line of its standard output that is JSON.
   *
   * @throws Error with its output when it ends without one.
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
   * Waits until its standard output matches.
   *
   * @throws Error with its output when it ends before.
   * @example
   * await quickstart.outputMatching(/Ctrl-C/);
   */
  outputMatching(pattern: RegExp): Promise<RegExpExecArray> {
    return this.findInOutput(stdout => pattern.exec(stdout) ?? undefined);
  }

  /** An error that tells how it ended. */
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

  private tellWatchers(): void {
    for (const watcher of this.watchers) watcher();
    this.watchers.clear();
  }

  private capture(stream: 'stdout' | 'stderr'): void {
    this.child[stream]?.setEncoding('utf8');
    this.child[stream]?.on('data', (text: string) => {
      this[stream] = (this[stream] + text).slice(-MOST_OUTPUT_CHARACTERS);
      this.tellWatchers();
    });
  }
}

function isObjectText(line: string): boolean {
  return line.startsWith('{');
}
