/** Finds out whether endpoints still run. */

import type {Logger} from '@snipestage/log/logger.js';
import type {ServingEndpoint} from '@snipestage/routing/serving_endpoint.js';
import type {EndpointId} from '@snipestage/types/ids.js';
import type {ConnectionPath} from './endpoint_connection.js';
import type {EndpointConnector} from './endpoint_connector.js';
import type {IdentifyEndpoint, Identification} from './identify_endpoint.js';

/** Options of {@link EndpointProbes}; defaults in the brackets. */
export interface EndpointProbesOptions {
  readonly connector: Pick<EndpointConnector, 'open'>;
  /**
   * Whether what has accepted a connection is the endpoint, and not another one
   * that got its address; closes the connection (any is taken for it).
   */
  readonly identify?: IdentifyEndpoint;
  /**
   * Whether another endpoint is listed at the address since (no). It matters
   * only for endpoints that state nothing of themselves: an entry is no more
   * than a claim.
   */
  readonly hasNewOwner?: (endpoint: ServingEndpoint) => boolean;
  /** Called when another endpoint has the address (nothing is done). */
  readonly onReplaced?: (endpoint: ServingEndpoint) => void;
  /** (nothing is logged) */
  readonly logger?: Logger;
}

/**
 * Longer than the timeouts of requests: a connection that takes its time shows
 * that the endpoint is up, and nothing else waits for it.
 */
const TIMEOUT_MS = 1000;
/** A request waits for it, and its endpoint has to connect in time as well. */
const REPLACED_TIMEOUT_MS = 300;
/** An endpoint that could not be reached or identified is looked at again. */
const MAX_LOOKS = 3;
const LOOK_AGAIN_AFTER_MS = 300;

/**
 * - `up`: the endpoint itself has answered.
 * - `accepted`: its address accepts connections, and it states nothing.
 * - `refused`: nothing accepts connections at its address.
 * - `replaced`: another endpoint has its address.
 */
type LookResult = 'up' | 'accepted' | 'refused' | 'replaced' | 'unknown';

/** By what the endpoint states of itself. */
const LOOK_RESULTS: Readonly<Record<Identification, LookResult>> = {
  same: 'up',
  not_asked: 'accepted',
  other: 'replaced',
  unknown: 'unknown',
};

interface LookLimits {
  readonly timeoutMs: number;
  /** Other instances connect if this one can't. */
  readonly isLast: boolean;
}

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
   * Whether the endpoint answers on a connection that is begun after this call:
   * one that was begun before says nothing of a crash in between.
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

  /**
   * Whether something else than this start of the endpoint has its address, by
   * one look. What the look can't tell counts as no.
   *
   * @example
   * if (await probes.isReplaced(endpoint)) return chooseAnother();
   */
  async isReplaced(endpoint: ServingEndpoint): Promise<boolean> {
    const result = await this.look(endpoint, 1, {
      timeoutMs: REPLACED_TIMEOUT_MS,
      isLast: false,
    });
    return result === 'replaced';
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
      const result = await this.look(endpoint, look);
      if (result === 'up') return true;
      if (result === 'accepted') return !this.hasNewOwner(endpoint);
      if (result !== 'unknown' || look === MAX_LOOKS) return false;
      await new Promise(done => setTimeout(done, LOOK_AGAIN_AFTER_MS));
    }
  }

  private hasNewOwner(endpoint: ServingEndpoint): boolean {
    return this.options.hasNewOwner?.(endpoint) ?? false;
  }

  private async look(
    endpoint: ServingEndpoint,
    look: number,
    limits: LookLimits = {timeoutMs: TIMEOUT_MS, isLast: true},
  ): Promise<LookResult> {
    const startedAtMs = performance.now();
    const {path, result} = await this.connectAndIdentify(endpoint, limits);
    this.options.logger?.info('endpoint_looked_at', {
      endpoint: endpoint.id,
      look,
      path,
      result,
      durationMs: Math.round(performance.now() - startedAtMs),
    });
    return result;
  }

  private async connectAndIdentify(
    endpoint: ServingEndpoint,
    {timeoutMs, isLast}: LookLimits,
  ): Promise<{path: ConnectionPath; result: LookResult}> {
    const {connector, identify} = this.options;
    const connection = await connector.open({
      endpoint,
      timeoutMs,
      isLast,
      isProbe: true,
      signal: new AbortController().signal,
    });
    const {path} = connection;
    if (connection.kind === 'failed') {
      const isRefused = connection.reason === 'refused';
      return {path, result: isRefused ? 'refused' : 'unknown'};
    }
    if (identify === undefined) {
      connection.reset();
      return {path, result: 'accepted'};
    }
    const match = await identify(endpoint, connection, timeoutMs);
    if (match === 'other') this.options.onReplaced?.(endpoint);
    return {path, result: LOOK_RESULTS[match]};
  }
}
