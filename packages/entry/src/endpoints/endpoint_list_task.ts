/** Reads the platform's list of endpoints for its data centre. */

import type {Platform} from '@snipestage/platform/platform.js';
import type {DataCentreId} from '@snipestage/types/ids.js';
import type {EndpointDirectory, EndpointList} from './endpoint_directory.js';

const READ_EVERY_MS = 1000;
/** Told again so often, for instances that have missed it. */
const REPEAT_EVERY_MS = 10_000;

/** Options of {@link EndpointListTask}. */
export interface EndpointListTaskOptions {
  readonly platform: Platform;
  readonly directory: EndpointDirectory;
  readonly dataCentre: DataCentreId;
  /** Whether this instance reads for its data centre. */
  readonly isReader: () => boolean;
  readonly spread: (list: EndpointList) => void;
  readonly clock: () => number;
}

/** While the platform can't be read, the last list stays in force. */
export class EndpointListTask {
  private timer: NodeJS.Timeout | undefined;
  private told = '';
  private toldAtMs = Number.NEGATIVE_INFINITY;

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
    this.tell(list);
  }

  private tell(list: EndpointList): void {
    const nowMs = this.options.clock();
    const text = JSON.stringify(list);
    const isDue = nowMs - this.toldAtMs >= REPEAT_EVERY_MS;
    if (text === this.told && !isDue) return;
    this.told = text;
    this.toldAtMs = nowMs;
    this.options.spread(list);
  }
}
