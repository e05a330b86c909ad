/** Limits the processor time of instances, as small machines do. */

import {spawn, type ChildProcess} from 'node:child_process';
import {fileURLToPath} from 'node:url';

const SCRIPT = fileURLToPath(new URL('quota_main.js', import.meta.url));

/** Owns the process that suspends and resumes the limited ones. */
export class ProcessorQuota {
  private readonly child: ChildProcess;

  /** @param quotaMs processor time of a process in each 100 ms. */
  constructor(private readonly quotaMs: number) {
    this.child = spawn(process.execPath, [SCRIPT], {
      stdio: ['pipe', 'inherit', 'inherit'],
    });
  }

  /**
   * Limits a process until it ends or {@link release} is called.
   *
   * @example
   * quota.limit(process.pid);
   */
  limit(pid: number): void {
    this.send(`limit ${pid} ${this.quotaMs}`);
  }

  /** Limits a process no longer; it may be suspended at that moment. */
  release(pid: number): void {
    this.send(`release ${pid}`);
  }

  /** Releases and resumes all processes. */
  close(): void {
    this.child.stdin?.end();
  }

  private send(line: string): void {
    this.child.stdin?.write(`${line}\n`);
  }
}
