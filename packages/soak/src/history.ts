/**
 * Record of what callers, endpoints, the provider and the operator saw in a
 * run.
 */

import type {RouteKind} from '@snipestage/routing/route.js';
import type {
  ClientAccountId,
  DataCentreId,
  EndpointId,
  InstanceId,
  ServiceId,
} from '@snipestage/types/ids.js';
import type {Run} from '@snipestage/platform_stand_ins/endpoint_stand_in.js';
import type {TakenUpStream} from '@snipestage/platform_stand_ins/caller_headers.js';
import type {ReadEvents} from '@snipestage/platform_stand_ins/stream_text.js';
import type {DutyCall} from '@snipestage/platform_stand_ins/provider_stand_in.js';
import type {Bounds} from '@snipestage/platform_stand_ins/settings_text.js';

/** What a disturbance affects. */
export type Subject =
  | InstanceId
  | EndpointId
  | 'store'
  | 'provider'
  /** The machine that runs the soak: no time bound applies while it stalls. */
  | 'machine';

/** A fault or another disturbance of a part of the system from outside. */
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
      /** Id of the request that the answer names. */
      readonly answeredRequestId: string | undefined;
      readonly bodyDigest: string;
    }
  /** No connection could be opened, or it failed before all was sent. */
  | {readonly kind: 'not_connected'}
  /** The connection failed after all was sent, before the end of the answer. */
  | {readonly kind: 'broken'}
  /** The caller hung up deliberately. */
  | {readonly kind: 'left'}
  /** The caller gave up, well past its timeout. */
  | {readonly kind: 'unanswered'};

/** One request of a caller. */
export interface SentRequest {
  readonly requestId: string;
  readonly instance: InstanceId;
  /** Number of the instance's process, counted from 1. */
  readonly processNumber: number;
  readonly kind: RouteKind;
  readonly isResumable: boolean;
  readonly maxAttempts: number;
  readonly path: string;
  readonly bodyDigest: string;
  readonly key: string;
  readonly clientAccount: ClientAccountId;
  /** The configuration's marker whose route it uses, if any. */
  readonly marker: number | undefined;
  readonly callerTimeoutMs: number;
  /** Parts of its prompt that other requests share (none). */
  readonly sharedParts?: readonly string[];
  readonly sentAtMs: number;
  /** When the connection that carried it was opened. */
  connectedAtMs?: number;
  /** When its last byte had been handed to the operating system. */
  lastByteAtMs?: number;
  endedAtMs?: number;
  outcome?: Outcome;
  /** The stream that it takes up, if any. */
  readonly takesUp?: TakenUpStream;
  /** Of a stream: what the caller has read of it in this attempt. */
  events?: ReadEvents;
}

/** The end of an instance's process. */
export interface ProcessEnd {
  readonly instance: InstanceId;
  readonly processNumber: number;
  /** Undefined when the soak did not end it. */
  readonly cause: 'terminated' | 'killed' | undefined;
  readonly code: number | null;
  /** The signal that ended it, if any. */
  readonly signal: NodeJS.Signals | null;
  /** It had reported that it was ready, and may have received requests. */
  readonly wasReady: boolean;
  /** From the signal of the soak to the end; 0 without one. */
  readonly tookMs: number;
  readonly atMs: number;
  readonly lastError: string;
}

/** A period in which a data centre must get no requests. */
export interface Evacuation {
  readonly dataCentre: DataCentreId;
  /** When it was in the store. */
  readonly fromMs: number;
  /** Infinite until the data centre is restored. */
  toMs: number;
}

/** A rate limit that an endpoint announced in its answers. */
export interface AnnouncedRateLimit {
  readonly endpoint: EndpointId;
  /** Requests a second from all instances together. */
  readonly rateLimitPerS: number;
  readonly fromMs: number;
  /** Infinite until it is lifted. */
  toMs: number;
}

/** A period in which instances had no links to endpoints. */
export interface InstanceCutRecord {
  readonly instances: readonly InstanceId[];
  readonly state: string;
  readonly fromMs: number;
  /** Infinite until the links are back. */
  toMs: number;
}

/** A period in which most new connections went to one instance. */
export interface Concentration {
  readonly fromMs: number;
  /** Infinite until it has ended. */
  toMs: number;
}

/** A period in which the endpoints of a service bear few rejections. */
export interface BrittlePeriod {
  readonly service: ServiceId;
  readonly endpoints: number;
  readonly maxRejectionsPerS: number;
  readonly fromMs: number;
  /** Infinite until it has ended. */
  toMs: number;
}

/** A software version and the time for which an endpoint served with it. */
export interface ServedVersion {
  readonly version: string;
  readonly fromMs: number;
  /** Infinite until it leaves or ends. */
  toMs: number;
}

/** A brittle endpoint that had to reject too much. */
export interface Fall {
  readonly endpoint: EndpointId;
  readonly atMs: number;
}

/** A time in which the soak's own process stood still. */
export interface OwnDelay {
  readonly atMs: number;
  readonly lateMs: number;
}

/** An error that an instance logged as unexpected. */
export interface UnhandledError {
  readonly instance: InstanceId;
  readonly line: string;
}

/** Record of one run; all times are of one monotonic clock. */
export class History {
  readonly requests: SentRequest[] = [];
  readonly runs: Run[] = [];
  readonly disturbances: Disturbance[] = [];
  readonly keyWithdrawals = new Map<string, number>();
  /** When a configuration with the marker was in the store. */
  readonly markers = new Map<number, number>();
  /** When an endpoint's notice that it leaves was in the store, by endpoint. */
  readonly leavingNotices = new Map<string, number>();
  readonly evacuations: Evacuation[] = [];
  readonly rateLimits: AnnouncedRateLimit[] = [];
  readonly instanceCuts: InstanceCutRecord[] = [];
  readonly brittlePeriods: BrittlePeriod[] = [];
  readonly falls: Fall[] = [];
  /** Data centre of every generation of an endpoint, by its id. */
  readonly endpointDataCentres = new Map<string, DataCentreId>();
  /** Software versions of engines, by endpoint. */
  readonly engineVersions = new Map<string, ServedVersion>();
  /** Callers, endpoints and the links between all run in the soak's process. */
  readonly ownDelays: OwnDelay[] = [];
  readonly dutyCalls: DutyCall[] = [];
  readonly concentrations: Concentration[] = [];
  readonly ends: ProcessEnd[] = [];
  /** Log lines on errors that nothing in an instance has handled. */
  readonly unhandledErrors: UnhandledError[] = [];
  /** No fault is applied after this time; infinite until the last has ended. */
  faultsEndedAtMs = Number.POSITIVE_INFINITY;
  private readonly runsByRequestId = new Map<string, Run[]>();

  constructor(readonly bounds: Bounds) {}

  /** For how long the soak's own process stood still within a period. */
  ownDelayMs(fromMs: number, toMs: number): number {
    return this.ownDelays
      .filter(({atMs, lateMs}) => atMs >= fromMs && atMs - lateMs <= toMs)
      .reduce((sum, {lateMs}) => sum + lateMs, 0);
  }

  /** Adds requests that reached endpoints. */
  addRuns(runs: readonly Run[]): void {
    for (const run of runs) {
      this.runs.push(run);
      const known = this.runsByRequestId.get(run.requestId);
      if (known === undefined) this.runsByRequestId.set(run.requestId, [run]);
      else known.push(run);
    }
  }

  /** Arrivals of a request at endpoints, whether they ran it or not. */
  arrivalsOf(requestId: string): readonly Run[] {
    return this.runsByRequestId.get(requestId) ?? [];
  }

  /** Arrivals of a request at endpoints that ran it. */
  runsOf(requestId: string): readonly Run[] {
    return this.arrivalsOf(requestId).filter(({hasRun}) => hasRun);
  }

  /** Records a disturbance that lasts until its `toMs` is set. */
  recordDisturbance(
    subject: Subject,
    kind: string,
    fromMs: number,
  ): Disturbance {
    const toMs = Number.POSITIVE_INFINITY;
    const disturbance = {subject, kind, fromMs, toMs};
    this.disturbances.push(disturbance);
    return disturbance;
  }

  /**
   * Whether no disturbance of the subjects or of the machine overlaps the
   * period, apart from those of the kinds in `exceptKinds`.
   *
   * @example
   * history.isUndisturbed([request.instance, 'store'], fromMs, toMs);
   */
  isUndisturbed(
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

  /**
   * Whether neither the instance nor the store was disturbed from the contact
   * bound before `atMs` until `untilMs`.
   */
  hadStoreContact(instance: InstanceId, atMs: number, untilMs = atMs): boolean {
    const fromMs = atMs - this.bounds.contactMs;
    return this.isUndisturbed([instance, 'store'], fromMs, untilMs);
  }
}
