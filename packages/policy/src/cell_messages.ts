/** Messages to the owner of a cell, and the decisions that it sends. */

import type {
  RequestClass,
  EndpointKind,
} from '@snipestage/types/configuration.js';
import type {AttemptId, EndpointId, InstanceId} from '@snipestage/types/ids.js';
import type {
  Allotment,
  CellPermitRequest,
  PermitGrant,
  PermitInUse,
  PermitRefusal,
  PermitRelease,
} from '@snipestage/types/permits.js';

/** Configuration of an endpoint of the cell. */
export interface CellEndpoint {
  readonly id: EndpointId;
  readonly kind: EndpointKind;
  readonly maxConcurrency: number;
  readonly leaving: boolean;
}

/** Load that an endpoint reported `ageMs` ago. */
export interface ReportedLoad {
  readonly endpoint: EndpointId;
  readonly running: number;
  readonly waiting: number;
  readonly ageMs: number;
}

/** Tokens that a running attempt has produced, for fairness by work done. */
export interface AttemptProgress {
  readonly attempt: AttemptId;
  readonly outputTokens: number;
  /** Time from the start to the last token, by the instance's clock. */
  readonly elapsedMs?: number;
}

/** A message to the owner of a cell. */
export type CellInput =
  | {readonly kind: 'ask'; readonly ask: CellPermitRequest}
  /** The caller hung up or its key was withdrawn while the request waited. */
  | {readonly kind: 'withdraw'; readonly attempt: AttemptId}
  | {
      readonly kind: 'release';
      readonly instance: InstanceId;
      readonly release: PermitRelease;
    }
  | {
      readonly kind: 'progress';
      readonly instance: InstanceId;
      readonly progress: readonly AttemptProgress[];
    }
  /**
   * All permits that an instance holds; sent to a new owner and periodically.
   */
  | {
      readonly kind: 'in_use';
      readonly instance: InstanceId;
      readonly permits: readonly PermitInUse[];
    }
  /** Attempts that an instance started under its allotment. */
  | {
      readonly kind: 'started';
      readonly instance: InstanceId;
      readonly permits: readonly PermitInUse[];
    }
  /**
   * The instance has applied the allotment of this sequence: permits that only
   * an older one included may go to others. Sent after the `started` messages
   * of attempts that were started under the older one.
   */
  | {
      readonly kind: 'allotment_applied';
      readonly instance: InstanceId;
      readonly sequence: number;
    }
  | {readonly kind: 'instance_joined'; readonly instance: InstanceId}
  | {readonly kind: 'instance_gone'; readonly instance: InstanceId}
  | {readonly kind: 'endpoints'; readonly endpoints: readonly CellEndpoint[]}
  | {readonly kind: 'classes'; readonly classes: readonly RequestClass[]}
  | {readonly kind: 'load'; readonly load: ReportedLoad};

/** A decision of the owner of a cell, addressed to one instance. */
export type CellOutput =
  | {
      readonly kind: 'grant';
      readonly instance: InstanceId;
      readonly grant: PermitGrant;
    }
  | {
      readonly kind: 'refuse';
      readonly instance: InstanceId;
      readonly refusal: PermitRefusal;
    }
  | {
      readonly kind: 'allot';
      readonly instance: InstanceId;
      readonly allotment: Allotment;
    };
