/** Chooses the instance that forwards a connection to an endpoint. */

import type {Branded, DataCentreId, InstanceId} from '@snipestage/types/ids.js';
import {leastBy} from './placement.js';

/** `<IP address>:<port>`. */
export type ForwarderAddress = Branded<string, 'ForwarderAddress'>;

/** An instance that forwards connections for others. */
export interface Forwarder {
  readonly instance: InstanceId;
  readonly dataCentre: DataCentreId;
  readonly address: ForwarderAddress;
}

/** Options of {@link ForwarderChoice}; defaults in brackets. */
export interface ForwarderChoiceOptions {
  /** Data centre of this instance. */
  readonly dataCentre: DataCentreId;
  /** First pause after a failure (250 ms); doubles. */
  readonly firstPauseMs?: number;
  /** Longest pause (2,000 ms). */
  readonly maxPauseMs?: number;
  /** At least 0 and below 1; spreads instances with equal data. */
  readonly random?: () => number;
}

interface TrackedForwarder {
  forwarder: Forwarder;
  inFlight: number;
  failures: number;
  pausedUntilMs: number;
}

const DEFAULT_FIRST_PAUSE_MS = 250;
const DEFAULT_MAX_PAUSE_MS = 2000;
/**
 * Connections in flight by which a forwarder of the own data centre may exceed
 * others: traffic between data centres is expensive.
 */
const REMOTE_COST_IN_CONNECTIONS = 8;
/** More than for a remote one: a whole data centre may have lost its links. */
const FAILED_CENTRE_COST_IN_CONNECTIONS = 16;

/**
 * Prefers forwarders of the own data centre with few connections of this
 * instance, and leaves out those that have just failed: they may be gone, or
 * have lost their links to endpoints themselves.
 */
export class ForwarderChoice {
  private readonly tracked = new Map<InstanceId, TrackedForwarder>();
  private readonly firstPauseMs: number;
  private readonly maxPauseMs: number;
  private readonly random: () => number;

  constructor(private readonly options: ForwarderChoiceOptions) {
    this.firstPauseMs = options.firstPauseMs ?? DEFAULT_FIRST_PAUSE_MS;
    this.maxPauseMs = options.maxPauseMs ?? DEFAULT_MAX_PAUSE_MS;
    this.random = options.random ?? Math.random;
  }

  get count(): number {
    return this.tracked.size;
  }

  /**
   * Adds forwarders; what is known of the same ones stays. Those that are missing
   * stay too: a store that was set back may have lost their rows.
   */
  learn(forwarders: readonly Forwarder[]): void {
    for (const forwarder of forwarders) {
      const known = this.tracked.get(forwarder.instance);
      if (known?.forwarder.address === forwarder.address) continue;
      this.tracked.set(forwarder.instance, {
        forwarder,
        inFlight: 0,
        failures: 0,
        pausedUntilMs: 0,
      });
    }
  }

  /**
   * @param excluded instances that failed for this request.
   * @param includesPaused also one that has just failed, if no other is left.
   * @returns undefined when none is left that might succeed.
   * @example
   * const forwarder = choice.choose(new Set(), nowMs);
   */
  choose(
    excluded: ReadonlySet<InstanceId>,
    nowMs: number,
    includesPaused = false,
  ): Forwarder | undefined {
    const left = [...this.tracked.values()].filter(
      ({forwarder}) => !excluded.has(forwarder.instance),
    );
    const open = left.filter(({pausedUntilMs}) => pausedUntilMs <= nowMs);
    const candidates = open.length === 0 && includesPaused ? left : open;
    const failedCentres = this.listDataCentres(excluded);
    return leastBy(candidates, each => this.costOf(each, failedCentres))
      ?.forwarder;
  }

  /** A connection through the forwarder begins; {@link end} must follow. */
  begin({instance}: Forwarder): void {
    const tracked = this.tracked.get(instance);
    if (tracked !== undefined) tracked.inFlight += 1;
  }

  /** A connection through the forwarder has ended. */
  end({instance}: Forwarder): void {
    const tracked = this.tracked.get(instance);
    if (tracked === undefined) return;
    tracked.inFlight = Math.max(0, tracked.inFlight - 1);
  }

  /** The forwarder has opened a connection. */
  noteOpened({instance}: Forwarder): void {
    const tracked = this.tracked.get(instance);
    if (tracked === undefined) return;
    tracked.failures = 0;
    tracked.pausedUntilMs = 0;
  }

  /** The forwarder didn't answer, or can't reach endpoints itself. */
  noteFailed({instance}: Forwarder, nowMs: number): void {
    const tracked = this.tracked.get(instance);
    // Failures of requests sent before the pause are no new evidence.
    if (tracked === undefined || nowMs < tracked.pausedUntilMs) return;
    const pauseMs = this.firstPauseMs * 2 ** tracked.failures;
    tracked.pausedUntilMs = nowMs + Math.min(this.maxPauseMs, pauseMs);
    tracked.failures += 1;
  }

  private listDataCentres(
    instances: ReadonlySet<InstanceId>,
  ): ReadonlySet<DataCentreId | undefined> {
    const centres = [...instances].map(
      id => this.tracked.get(id)?.forwarder.dataCentre,
    );
    return new Set(centres);
  }

  private costOf(
    {forwarder, inFlight}: TrackedForwarder,
    failedCentres: ReadonlySet<DataCentreId | undefined>,
  ): number {
    const {dataCentre} = forwarder;
    const isRemote = dataCentre !== this.options.dataCentre;
    const remoteCost = isRemote ? REMOTE_COST_IN_CONNECTIONS : 0;
    const failedCost = failedCentres.has(dataCentre)
      ? FAILED_CENTRE_COST_IN_CONNECTIONS
      : 0;
    return inFlight + remoteCost + failedCost + this.random();
  }
}
