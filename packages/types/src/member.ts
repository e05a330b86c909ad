/** Entry instances as membership sees them. */

import type {DataCentreId, Incarnation, InstanceId, Revision} from './ids.js';

export type MemberState = 'alive' | 'suspect' | 'dead' | 'leaving';

/** One instance as one observer knows it. */
export interface Member {
  readonly id: InstanceId;
  readonly incarnation: Incarnation;
  readonly dataCentre: DataCentreId;
  /** `<IP number>:<port>` of its peer listener. */
  readonly peerAddress: string;
  readonly state: MemberState;
  /** Raised by the member itself; the higher one is newer. */
  readonly heartbeat: number;
  /** The revision that the member has in force. */
  readonly revision: Revision;
}
