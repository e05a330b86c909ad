/** A logger that keeps its lines, for tests. */

import {Logger} from '@snipestage/log/logger.js';

export class NoOutput {
  readonly lines: string[] = [];
  readonly logger = new Logger({
    component: 'test',
    write: line => this.lines.push(line),
  });
}
