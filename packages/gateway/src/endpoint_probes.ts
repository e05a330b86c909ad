/** Finds out whether endpoints still accept connections. */

import type {ServingEndpoint} from '@snipestage/routing/serving_endpoint.js';
import type {EndpointId} from '@snipestage/types/ids.js';
import type {EndpointConnector} from './endpoint_connector.js';

/** Options of {@link EndpointProbes}. */
export interface EndpointProbesOptions {
  readonly connector: Pick<EndpointConnector, 'open'>;
}

/**
 * Longer than the timeouts of requests: a connection that takes its time shows
 * that the endpoint is up, and nothing else waits for it.
 */
const TIMEOUT_MS = 1000;
/** Unless the endpoint refuses, nothing is known of it after one look. */
const MAX_LOOKS = 3;
const LOOK_AGAIN_AFTER_MS = 300;

interface RunningProbe {
  readonly current: Promise<boolean>;
  /** Begins when the current one has ended. */
  next?: Promise<boolean>;
}

/**
 * Opens at most one connection to each endpoint at a time, however many
 * requests ask.
 */
export class EndpointProbes {
  private readonly running = new Map<EndpointId, RunningProbe>();

  constructor(private readonly options: EndpointProbesOptions) {}

  /**
   * Whether the endpoint accepts a connection that is begun after this call: one
   * that was begun before says nothing of a crash in between.
   *
   * @example
   * if (!(await probes.isUp(endpoint))) return breakOff();
   */
  isUp(endpoint: ServingEndpoint): Promise<boolean> {
    const running = this.running.get(endpoint.id);
    if (running === undefined) return this.start(endpoint);
    running.next ??= running.current.then(() => this.start(endpoint));
    return running.next;
  }

  private start(endpoint: ServingEndpoint): Promise<boolean> {
    const current = this.connect(endpoint);
    const probe: RunningProbe = {current};
    this.running.set(endpoint.id, probe);
    void current.then(() => {
      if (probe.next === undefined) this.running.delete(endpoint.id);
    });
    return current;
  }

  private async connect(endpoint: ServingEndpoint): Promise<boolean> {
    for (let look = 1; ; look += 1) {
      const result = await this.look(endpoint);
      if (result === 'up') return true;
      if (result === 'refused' || look === MAX_LOOKS) return false;
      await new Promise(done => setTimeout(done, LOOK_AGAIN_AFTER_MS));
    }
  }

  private async look(
    endpoint: ServingEndpoint,
  ): Promise<'up' | 'refused' | 'unknown'> {
    const connection = await this.options.connector.open({
      endpoint,
      timeoutMs: TIMEOUT_MS,
      isLast: true,
      isProbe: true,
      signal: new AbortController().signal,
    });
    if (connection.kind === 'failed') {
      return connection.reason === 'refused' ? 'refused' : 'unknown';
    }
    connection.reset();
    return 'up';
  }
}
