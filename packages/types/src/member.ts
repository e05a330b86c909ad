/** Entry instances in the membership list. */

import type {DataCentreId, Incarnation, InstanceId, Revision} from './ids.js';

export type MemberState = 'alive' | 'suspect' | 'dead' | 'leaving';

/** An instance as one observer currently sees it. */
export interface Member {
  readonly id: InstanceId;
  readonly incarnation: Incarnation;
  readonly dataCentre: DataCentreId;
  /** `<IP address>:<port>` of its peer listener. */
  readonly peerAddress: string;
  readonly state: MemberState;
  /** Counter that only the member itself increases; higher is newer. */
  readonly heartbeat: number;
  /** Revision of the configuration that the member has in force. */
  readonly revision: Revision;
}
