/** Writes what was sent, answered and run to `record.txt` in a case's folder. */

import {appendFileSync, writeFileSync} from 'node:fs';
import {performance} from 'node:perf_hooks';
import {fileURLToPath, URL} from 'node:url';

export class Record {
  /** @param moduleUrl `import.meta.url` of the case. */
  constructor(moduleUrl) {
    this.path = fileURLToPath(new URL('record.txt', moduleUrl));
    this.startedAtMs = performance.now();
    writeFileSync(this.path, '');
  }

  line(text) {
    const atMs = Math.round(performance.now() - this.startedAtMs);
    appendFileSync(this.path, `${String(atMs).padStart(6)} ms  ${text}\n`);
  }
}
