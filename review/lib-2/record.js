/** Writes what was sent, answered and run to a case's `record.txt`. */

import {appendFileSync, writeFileSync} from 'node:fs';
import {performance} from 'node:perf_hooks';
import {fileURLToPath} from 'node:url';

export class Record {
  /** @param fileUrl The file's URL; what it held before is removed. */
  constructor(fileUrl) {
    this.path = fileURLToPath(fileUrl);
    this.startedAtMs = performance.now();
    writeFileSync(this.path, '');
  }

  line(text) {
    const atMs = Math.round(performance.now() - this.startedAtMs);
    appendFileSync(this.path, `${String(atMs).padStart(6)} ms  ${text}\n`);
  }
}
