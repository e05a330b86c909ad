/** Records that entry instances send each other, besides gossip. */

import type {AttemptProgress} from '@snipestage/policy/cell_messages.js';
import type {
  AttemptId,
  CellId,
  Fingerprint,
  Incarnation,
  InstanceId,
  Revision,
  UsageWindowId,
} from '@snipestage/types/ids.js';
import type {
  Allotment,
  CellPermitRequest,
  PermitGrant,
  PermitInUse,
  PermitRefusal,
  PermitRelease,
} from '@snipestage/types/permits.js';

/** A request that was in flight at an endpoint when that endpoint crashed. */
export interface SuspectRequest {
  readonly fingerprint: Fingerprint;
  /** Crashes during which it was in flight, as counted by the sender. */
  readonly crashes: number;
  /** How long the receiver keeps it. */
  readonly expiresInMs: number;
}

/**
 * One record. Records to one instance arrive at most once and in the order in
 * which they were sent; a stream that breaks loses those not yet delivered.
 */
export type PeerRecord =
  | {readonly kind: 'ask'; readonly ask: CellPermitRequest}
  | {
      readonly kind: 'withdraw';
      readonly cell: CellId;
      readonly attempt: AttemptId;
    }
  | {readonly kind: 'release'; readonly release: PermitRelease}
  | {
      readonly kind: 'progress';
      readonly cell: CellId;
      readonly progress: readonly AttemptProgress[];
    }
  | {
      readonly kind: 'in_use';
      readonly cell: CellId;
      readonly permits: readonly PermitInUse[];
    }
  | {readonly kind: 'grant'; readonly grant: PermitGrant}
  | {readonly kind: 'refuse'; readonly refusal: PermitRefusal}
  | {readonly kind: 'allot'; readonly allotment: Allotment}
  | {
      readonly kind: 'configuration';
      readonly revision: Revision;
      readonly payload: Buffer;
    }
  /**
   * Requests the configuration in force if its revision is higher than this.
   */
  | {readonly kind: 'configuration_pull'; readonly aboveRevision: Revision}
  | {readonly kind: 'suspect_request'; readonly suspect: SuspectRequest}
  | {
      readonly kind: 'usage_copy';
      readonly window: UsageWindowId;
      readonly json: Buffer;
    }
  /** A record whose content is opaque to this package. */
  | {readonly kind: 'extension'; readonly name: string; readonly json: Buffer};

/** One incarnation of an instance, as the sender of records. */
export interface PeerIdentity {
  readonly id: InstanceId;
  readonly incarnation: Incarnation;
}
