/** A logger that keeps its lines in memory, for tests. */

import {Logger} from '@snipestage/log/logger.js';

export class CapturedLog {
  readonly lines: string[] = [];
  readonly logger = new Logger({
    component: 'test',
    write: line => this.lines.push(line),
  });
}
