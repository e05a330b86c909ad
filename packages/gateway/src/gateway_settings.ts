/** Settings of the pass-through door. */

import type {WarmupTolerance} from '@snipestage/routing/warmup_gate.js';
import type {DataCentreId, InstanceId} from '@snipestage/types/ids.js';

/** `<IP number>:<port>`. */
export type ListenAddress = string;

/** Bounds on attempts beyond the first of a request, over all instances. */
export interface RetrySettings {
  /** Further attempts for each request. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Further attempts in a window beyond the ratio. */
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
    /** A change has to be known so soon, also over a connection that broke. */
    readonly knownWithinMs: number;
    /** A change has to be in force so soon after the store has taken it. */
    readonly inForceWithinMs: number;
  };
  readonly relays: {
    /** Where other instances may reach this one; undefined: it takes no part. */
    readonly address: ListenAddress | undefined;
    readonly dataCentres: number;
    /** 0 to 1: how well this instance's machine can serve others. */
    readonly strength: number;
  };
  /** By how much the rate of a cold endpoint may be exceeded. */
  readonly warmup?: WarmupTolerance;
  readonly shutdown: {
    /** After this the process is killed. */
    readonly graceMs: number;
  };
  readonly lease: {
    /** Two holders may not act by turns within this time. */
    readonly termMs: number;
  };
  readonly usage: {
    readonly windowMs: number;
    /** A window's report is due so long after its end. */
    readonly dueAfterMs: number;
    /** Share by which a figure may be off. */
    readonly tolerance: number;
  };
  readonly duties: {
    readonly reportsUsage: boolean;
    readonly ordersEndpoints: boolean;
  };
}
