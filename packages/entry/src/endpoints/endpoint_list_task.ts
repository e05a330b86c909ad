/** Reads the platform's list of endpoints for its data centre. */

import type {Platform} from '@snipestage/platform/platform.js';
import type {DataCentreId} from '@snipestage/types/ids.js';
import type {EndpointDirectory, EndpointList} from './endpoint_directory.js';

const READ_EVERY_MS = 1000;
/**
 * An unchanged list is published again at this interval, for instances that
 * have missed it.
 */
const REPUBLISH_INTERVAL_MS = 10_000;

/** Options of {@link EndpointListTask}. */
export interface EndpointListTaskOptions {
  readonly platform: Platform;
  readonly directory: EndpointDirectory;
  readonly dataCentre: DataCentreId;
  /** Whether this instance reads the list for its data centre. */
  readonly isReader: () => boolean;
  readonly publish: (list: EndpointList) => void;
  readonly clock: () => number;
}

/**
 * Reads and publishes the list. While the platform can't be read, the last list
 * stays in force.
 */
export class EndpointListTask {
  private timer: NodeJS.Timeout | undefined;
  private publishedText = '';
  private publishedAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: EndpointListTaskOptions) {}

  start(): void {
    this.timer = setInterval(() => void this.read(), READ_EVERY_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private async read(): Promise<void> {
    const {platform, directory, dataCentre, isReader} = this.options;
    if (!isReader()) return;
    const result = await platform.listEndpoints();
    if (result.kind === 'unavailable') return;
    const items = result.items.filter(item => item.dataCentre === dataCentre);
    const list: EndpointList = {dataCentre, items};
    directory.setList(list);
    this.publishIfDue(list);
  }

  private publishIfDue(list: EndpointList): void {
    const nowMs = this.options.clock();
    const text = JSON.stringify(list);
    const isDue = nowMs - this.publishedAtMs >= REPUBLISH_INTERVAL_MS;
    if (text === this.publishedText && !isDue) return;
    this.publishedText = text;
    this.publishedAtMs = nowMs;
    this.options.publish(list);
  }
}
