/** Finds out whether endpoints whose answers broke off have crashed. */

import type {EndpointId} from '@snipestage/types/ids.js';

/** What an endpoint whose answer broke off looks like some time later. */
export type EndpointCondition =
  /** It accepts connections, or nothing can be said of it. */
  | 'open'
  /** It refuses connections, or no connection opens in time. */
  | 'down'
  /** It was replaced, restarted, or removed without having announced it. */
  | 'gone';

/** Options of {@link CrashCheck}. */
export interface CrashCheckOptions {
  /** Opens a connection if `mayConnect`; else looks only at the list. */
  readonly look: (
    endpoint: EndpointId,
    mayConnect: boolean,
  ) => Promise<EndpointCondition>;
  /** Whether it is still unknown if the endpoint has crashed. */
  readonly isOpen: (endpoint: EndpointId) => boolean;
  readonly onDown: (endpoint: EndpointId) => void;
  /** Called when a look fails for another reason. */
  readonly onError: (endpoint: EndpointId, error: unknown) => void;
}

/** Looks at one endpoint in progress. */
interface Looks {
  /** Whether the first look is still to come. */
  isFirst: boolean;
  firstLook: Promise<void>;
}

/**
 * Pauses before the looks at an endpoint. A crashed endpoint is back within
 * seconds, so that the first look comes soon; the list shows only after several
 * heartbeats that an endpoint is gone.
 */
const PAUSES_MS: readonly number[] = [100, 900, 4000, 4000];
/** Looks that may open a connection; by then the endpoint may be back. */
const MAX_CONNECTIONS = 2;

/**
 * Looks at an endpoint after an answer of it broke off. Without this, a crash
 * would be recognized only if another request happened to be sent there before
 * the endpoint was back.
 */
export class CrashCheck {
  private readonly running = new Map<EndpointId, Looks>();
  private isStopped = false;

  constructor(private readonly options: CrashCheckOptions) {}

  /**
   * Starts to look at an endpoint.
   *
   * @returns resolves after the first look.
   * @example
   * await check.start(endpoint.id);
   */
  start(endpoint: EndpointId): Promise<void> {
    const running = this.running.get(endpoint);
    if (running?.isFirst === true) return running.firstLook;
    const looks: Looks = {isFirst: true, firstLook: Promise.resolve()};
    looks.firstLook = new Promise(onFirstLook => {
      void this.run(endpoint, looks, onFirstLook).finally(() => {
        if (this.running.get(endpoint) === looks) this.running.delete(endpoint);
        onFirstLook();
      });
    });
    this.running.set(endpoint, looks);
    return looks.firstLook;
  }

  stop(): void {
    this.isStopped = true;
  }

  private async run(
    endpoint: EndpointId,
    looks: Looks,
    onFirstLook: () => void,
  ): Promise<void> {
    const {look, isOpen, onDown, onError} = this.options;
    try {
      for (const [index, pauseMs] of PAUSES_MS.entries()) {
        await pause(pauseMs);
        if (this.running.get(endpoint) !== looks) return;
        if (this.isStopped || !isOpen(endpoint)) return;
        const condition = await look(endpoint, index < MAX_CONNECTIONS);
        if (condition !== 'open') {
          onDown(endpoint);
          return;
        }
        looks.isFirst = false;
        onFirstLook();
      }
    } catch (error) {
      onError(endpoint, error);
    }
  }
}

/** Doesn't keep a process that ends alive. */
function pause(pauseMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, pauseMs).unref());
}
