/** All that callers, endpoints and the operator saw during a run. */

import type {RouteKind} from '@snipestage/routing/route.js';
import type {
  ClientAccountId,
  DataCentreId,
  EndpointId,
  InstanceId,
} from '@snipestage/types/ids.js';
import type {Run} from '@snipestage/platform_stand_ins/endpoint_stand_in.js';
import type {DutyCall} from '@snipestage/platform_stand_ins/provider_stand_in.js';
import type {Bounds} from '@snipestage/platform_stand_ins/settings_text.js';

/** What may be disturbed. */
export type Subject =
  | InstanceId
  | EndpointId
  | 'store'
  | 'provider'
  /** The machine that runs all of it: nobody is bound while it stands still. */
  | 'machine';

/** Something was done to a part of the world from outside. */
export interface Disturbance {
  readonly subject: Subject;
  readonly kind: string;
  readonly fromMs: number;
  /** Infinite until it has ended. */
  toMs: number;
}

/** How a request ended for its caller. */
export type Outcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly signature: string | undefined;
      /** The request that the answer says it belongs to. */
      readonly answersRequest: string | undefined;
      readonly bodyDigest: string;
    }
  /** No connection was had: nothing was sent. */
  | {readonly kind: 'not_connected'}
  /** The connection ended before the answer's end. */
  | {readonly kind: 'broken'}
  /** The caller went away of its own will. */
  | {readonly kind: 'left'}
  /** The caller waited well past its time and gave up. */
  | {readonly kind: 'unanswered'};

/** One request of a caller. */
export interface SentRequest {
  readonly requestId: string;
  readonly instance: InstanceId;
  /** Of the instance's processes, counted from 1. */
  readonly life: number;
  readonly kind: RouteKind;
  readonly isResumable: boolean;
  readonly maxAttempts: number;
  readonly path: string;
  readonly bodyDigest: string;
  readonly key: string;
  readonly clientAccount: ClientAccountId;
  /** The configuration's marker that it asks for, if it does. */
  readonly marker: number | undefined;
  readonly callerTimeoutMs: number;
  readonly sentAtMs: number;
  /** When the connection was opened over which it was sent. */
  connectedAtMs?: number;
  /** When its last byte had been handed to the system. */
  lastByteAtMs?: number;
  endedAtMs?: number;
  outcome?: Outcome;
}

/** An instance's process ended. */
export interface ProcessEnd {
  readonly instance: InstanceId;
  readonly life: number;
  /** Undefined when nobody had ended it. */
  readonly cause: 'terminated' | 'killed' | undefined;
  readonly code: number | null;
  /** Which signal ended it, if one did. */
  readonly signal: NodeJS.Signals | null;
  /** It had said that it was ready, and may have had requests. */
  readonly wasReady: boolean;
  /** From the signal to the end. */
  readonly tookMs: number;
  readonly atMs: number;
  readonly lastError: string;
}

/** A data centre was to get no requests. */
export interface Evacuation {
  readonly dataCentre: DataCentreId;
  /** When the store had it. */
  readonly fromMs: number;
  /** Infinite until the data centre is restored. */
  toMs: number;
}

/** An endpoint announced a rate limit in its answers. */
export interface AnnouncedRateLimit {
  readonly endpoint: EndpointId;
  /** From all instances together. */
  readonly rateLimitPerS: number;
  readonly fromMs: number;
  /** Infinite until it is lifted. */
  toMs: number;
}

/** Times are of one steady clock. */
export class History {
  readonly requests: SentRequest[] = [];
  readonly runs: Run[] = [];
  readonly disturbances: Disturbance[] = [];
  readonly keyWithdrawals = new Map<string, number>();
  /** When the store had a configuration with the marker. */
  readonly markers = new Map<number, number>();
  /** When the store had an endpoint's notice that it leaves. */
  readonly leavingNotices = new Map<string, number>();
  readonly evacuations: Evacuation[] = [];
  readonly rateLimits: AnnouncedRateLimit[] = [];
  /** Of every life of an endpoint. */
  readonly endpointPlaces = new Map<string, DataCentreId>();
  readonly dutyCalls: DutyCall[] = [];
  readonly ends: ProcessEnd[] = [];
  /** From here on nothing is disturbed any more. */
  quietFromMs = Number.POSITIVE_INFINITY;
  private readonly runsById = new Map<string, Run[]>();

  constructor(readonly bounds: Bounds) {}

  /** Adds what endpoints saw. */
  addRuns(runs: readonly Run[]): void {
    for (const run of runs) {
      this.runs.push(run);
      const known = this.runsById.get(run.requestId);
      if (known === undefined) this.runsById.set(run.requestId, [run]);
      else known.push(run);
    }
  }

  /** What endpoints saw of a request, whether they ran it or not. */
  arrivalsOf(requestId: string): readonly Run[] {
    return this.runsById.get(requestId) ?? [];
  }

  /** Endpoints' work on a request. */
  runsOf(requestId: string): readonly Run[] {
    return this.arrivalsOf(requestId).filter(({hasRun}) => hasRun);
  }

  /** Notes a disturbance that lasts until its `toMs` is set. */
  disturb(subject: Subject, kind: string, fromMs: number): Disturbance {
    const toMs = Number.POSITIVE_INFINITY;
    const disturbance = {subject, kind, fromMs, toMs};
    this.disturbances.push(disturbance);
    return disturbance;
  }

  /**
   * Whether nothing was done to the subjects, but for the kinds named.
   *
   * @example
   * history.isCalm([request.instance, 'store'], fromMs, toMs);
   */
  isCalm(
    subjects: readonly Subject[],
    fromMs: number,
    toMs: number,
    exceptKinds: readonly string[] = [],
  ): boolean {
    return !this.disturbances.some(
      each =>
        (subjects.includes(each.subject) || each.subject === 'machine') &&
        !exceptKinds.includes(each.kind) &&
        each.fromMs <= toMs &&
        each.toMs >= fromMs,
    );
  }

  /** Whether an instance had its process and its ways for long enough. */
  isInTouch(instance: InstanceId, atMs: number, untilMs = atMs): boolean {
    const fromMs = atMs - this.bounds.contactMs;
    return this.isCalm([instance, 'store'], fromMs, untilMs);
  }
}
