/** What the owner of a cell is told and what it decides. */

import type {
  RequestClass,
  EndpointKind,
} from '@snipestage/types/configuration.js';
import type {AttemptId, EndpointId, InstanceId} from '@snipestage/types/ids.js';
import type {
  Allotment,
  PermitAsk,
  PermitGrant,
  PermitInUse,
  PermitRefusal,
  PermitRelease,
} from '@snipestage/types/permits.js';

/** An endpoint of the cell, as configured. */
export interface CellEndpoint {
  readonly id: EndpointId;
  readonly kind: EndpointKind;
  readonly maxConcurrency: number;
  readonly leaving: boolean;
}

/** Load as an endpoint reported it, late. */
export interface ReportedLoad {
  readonly endpoint: EndpointId;
  readonly running: number;
  readonly waiting: number;
  readonly ageMs: number;
}

/** Tokens of a running attempt so far, for fairness by work done. */
export interface AttemptProgress {
  readonly attempt: AttemptId;
  readonly outputTokens: number;
  /** From the start to the last of them, by the instance's clock. */
  readonly elapsedMs?: number;
}

/** A message to the owner of a cell. */
export type CellInput =
  | {readonly kind: 'ask'; readonly ask: PermitAsk}
  /** The caller hung up or its key was withdrawn while it waited. */
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
  /** All that an instance holds: told to a new owner, and from time to time. */
  | {
      readonly kind: 'in_use';
      readonly instance: InstanceId;
      readonly permits: readonly PermitInUse[];
    }
  /** Attempts that an instance began under its allotment, without asking. */
  | {
      readonly kind: 'started';
      readonly instance: InstanceId;
      readonly permits: readonly PermitInUse[];
    }
  /**
   * The instance keeps to the allotment of this sequence: what an older one gave
   * and this one does not may go to others. Comes after what was begun under
   * the older one.
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

/** A decision of the owner of a cell, for one instance. */
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
