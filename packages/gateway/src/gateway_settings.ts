/** Settings of the pass-through gateway. */

import type {LoadControlsOptions} from '@snipestage/routing/load_controls.js';
import type {WarmupTolerance} from '@snipestage/routing/warmup_gate.js';
import type {DataCentreId, InstanceId} from '@snipestage/types/ids.js';

/** `<IP address>:<port>`. */
export type ListenAddress = string;

/** Retry budget: limits on further attempts of requests, over all instances. */
export interface RetrySettings {
  /** Further attempts allowed per request. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Further attempts allowed in a window beyond the ratio. */
  readonly slack: number;
  /** See {@link WindowBudgetOptions}. */
  readonly floor?: number;
}

export interface GatewaySettings {
  readonly instance: InstanceId;
  readonly dataCentre: DataCentreId;
  readonly callersAddress: ListenAddress;
  readonly readinessAddress: ListenAddress;
  readonly metricsAddress: ListenAddress | undefined;
  readonly retry: RetrySettings;
  readonly changes: {
    /**
     * Time within which a change has to be known, even if a connection broke.
     */
    readonly knownWithinMs: number;
    /** Time within which a change accepted by the store has to be in force. */
    readonly inForceWithinMs: number;
  };
  readonly relays: {
    /** Address for other instances; undefined: this one takes no part. */
    readonly address: ListenAddress | undefined;
    readonly dataCentres: number;
    /** 0 to 1: how well this instance's machine can serve others. */
    readonly strength: number;
  };
  readonly forwarding: {
    /** Address for other instances; undefined: this one takes no part. */
    readonly address: ListenAddress | undefined;
    /** See {@link ForwarderListOptions}. */
    readonly publishWithinMs?: number;
  };
  /** By how much the rate of a cold endpoint may be exceeded. */
  readonly warmup?: WarmupTolerance;
  /** Controls for scarce or uneven capacity; off without it. */
  readonly loadControls?: LoadControlsOptions;
  /** Bounds what is held for callers; without it, there is no bound. */
  readonly memory?: {
    /** Memory of the process; a quarter of it may be held. */
    readonly limitBytes: number;
  };
  /** Descriptors that the process may have; without it, there is no bound. */
  readonly maxDescriptors?: number;
  readonly shutdown: {
    /** Time from the signal to stop until the process is killed. */
    readonly graceMs: number;
  };
  readonly lease: {
    /** Term of the lease; two holders must not both act within this time. */
    readonly termMs: number;
  };
  readonly usage: {
    readonly windowMs: number;
    /** Time after the end of a window at which its report is due. */
    readonly dueAfterMs: number;
    /** Share by which a reported count may be off. */
    readonly tolerance: number;
  };
  readonly duties: {
    readonly reportsUsage: boolean;
    readonly ordersEndpoints: boolean;
  };
}
