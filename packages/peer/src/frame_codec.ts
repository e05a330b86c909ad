/** Converts records and gossip to protobuf messages and back. */

import type {
  AttemptId,
  CellId,
  DataCentreId,
  Fingerprint,
  Incarnation,
  InstanceId,
  Revision,
  UsageWindowId,
} from '@snipestage/types/ids.js';
import type {Member, MemberState} from '@snipestage/types/member.js';
import type {
  CellPermitRequest,
  PermitGrant,
  PermitInUse,
  PermitRefusal,
  PermitRelease,
} from '@snipestage/types/permits.js';
import type {Frame__Output as WireFrameOutput} from './generated/snipestage/peer/Frame.js';
import type {Frame as WireFrame} from './generated/snipestage/peer/Frame.js';
import type {Hello__Output as WireHelloOutput} from './generated/snipestage/peer/Hello.js';
import type {MemberUpdate__Output as WireMemberOutput} from './generated/snipestage/peer/MemberUpdate.js';
import type {MemberUpdate as WireMember} from './generated/snipestage/peer/MemberUpdate.js';
import type {Record__Output as WireRecordOutput} from './generated/snipestage/peer/Record.js';
import type {Record as WireRecord} from './generated/snipestage/peer/Record.js';
import type {PeerRecord} from './records.js';

/** Identity of the sender on a stream, sent in its first frame. */
export interface Hello {
  readonly id: InstanceId;
  readonly incarnation: Incarnation;
  readonly dataCentre: DataCentreId;
  readonly peerAddress: string;
  readonly heartbeat: number;
  readonly knownMembers: number;
}

/** A record for all instances, which each passes on once. */
export interface Rumour {
  readonly id: string;
  readonly record: PeerRecord;
}

/** One frame, as the rest of the package handles it. */
export interface PeerFrame {
  readonly hello?: Hello;
  readonly revision: Revision;
  readonly members: readonly Member[];
  readonly records: readonly PeerRecord[];
  readonly rumours?: readonly Rumour[];
}

type WireState = 'ALIVE' | 'SUSPECT' | 'LEAVING' | 'DEAD';

const WIRE_STATES: {readonly [State in MemberState]: WireState} = {
  alive: 'ALIVE',
  suspect: 'SUSPECT',
  leaving: 'LEAVING',
  dead: 'DEAD',
};

const MEMBER_STATES: {readonly [State in WireState]: MemberState} = {
  ALIVE: 'alive',
  SUSPECT: 'suspect',
  LEAVING: 'leaving',
  DEAD: 'dead',
};

/**
 * @example
 * stream.write(encodeFrame({revision, members: [], records: [record]}));
 */
export function encodeFrame(frame: PeerFrame): WireFrame {
  return {
    hello: frame.hello && encodeHello(frame.hello),
    revision: frame.revision,
    members: frame.members.map(encodeMember),
    records: frame.records.map(encodeRecord),
    rumours: (frame.rumours ?? []).map(rumour => ({
      id: rumour.id,
      record: encodeRecord(rumour.record),
    })),
  };
}

/**
 * Omits records of an unknown kind, which a newer release may have added.
 *
 * @example
 * stream.on('data', wire => handle(decodeFrame(wire)));
 */
export function decodeFrame(wire: WireFrameOutput): PeerFrame {
  return {
    hello: wire.hello ? decodeHello(wire.hello) : undefined,
    revision: wire.revision as Revision,
    members: wire.members.map(decodeMember),
    records: wire.records
      .map(decodeRecord)
      .filter(record => record !== undefined),
    rumours: wire.rumours.flatMap(({id, record}) => {
      const decoded = record ? decodeRecord(record) : undefined;
      return decoded === undefined ? [] : [{id, record: decoded}];
    }),
  };
}

function encodeHello(hello: Hello): NonNullable<WireFrame['hello']> {
  const {id, ...rest} = hello;
  return {instance: id, ...rest};
}

function decodeHello(wire: WireHelloOutput): Hello {
  return {
    id: wire.instance as InstanceId,
    incarnation: wire.incarnation as Incarnation,
    dataCentre: wire.dataCentre as DataCentreId,
    peerAddress: wire.peerAddress,
    heartbeat: wire.heartbeat,
    knownMembers: wire.knownMembers,
  };
}

function encodeMember(member: Member): WireMember {
  const {id, state, ...rest} = member;
  return {instance: id, state: WIRE_STATES[state], ...rest};
}

function decodeMember(wire: WireMemberOutput): Member {
  return {
    id: wire.instance as InstanceId,
    incarnation: wire.incarnation as Incarnation,
    dataCentre: wire.dataCentre as DataCentreId,
    peerAddress: wire.peerAddress,
    state: MEMBER_STATES[wire.state as WireState],
    heartbeat: wire.heartbeat,
    revision: wire.revision as Revision,
  };
}

function encodeRecord(record: PeerRecord): WireRecord {
  switch (record.kind) {
    case 'ask':
      return {ask: {...record.ask, excluded: [...record.ask.excluded]}};
    case 'withdraw':
      return {withdraw: {cell: record.cell, attempt: record.attempt}};
    case 'release':
      return {release: record.release};
    case 'progress':
      return {
        progress: {cell: record.cell, progress: [...record.progress]},
      };
    case 'in_use':
      return {inUse: {cell: record.cell, permits: [...record.permits]}};
    case 'grant':
      return {grant: record.grant};
    case 'refuse':
      return {refuse: record.refusal};
    case 'allot':
      return {
        allot: {
          ...record.allotment,
          endpoints: [...record.allotment.endpoints],
        },
      };
    case 'configuration':
      return {
        configuration: {revision: record.revision, payload: record.payload},
      };
    case 'configuration_pull':
      return {configurationPull: {aboveRevision: record.aboveRevision}};
    case 'suspect_request':
      return {suspectRequest: record.suspect};
    case 'usage_copy':
      return {usageCopy: {window: record.window, json: record.json}};
    case 'extension':
      return {extension: {name: record.name, json: record.json}};
  }
}

/** Removes the presence marks that the loader adds for optional fields. */
function withoutPresenceMarks<T extends object>(wire: T): T {
  const entries = Object.entries(wire).filter(([key]) => !key.startsWith('_'));
  return Object.fromEntries(entries) as T;
}

function decodeRecord(wire: WireRecordOutput): PeerRecord | undefined {
  if (wire.ask) {
    const ask = withoutPresenceMarks(wire.ask) as unknown as CellPermitRequest;
    return {kind: 'ask', ask};
  }
  if (wire.withdraw) {
    const {cell, attempt} = wire.withdraw;
    return {
      kind: 'withdraw',
      cell: cell as CellId,
      attempt: attempt as AttemptId,
    };
  }
  if (wire.release) {
    const release = withoutPresenceMarks(
      wire.release,
    ) as unknown as PermitRelease;
    return {kind: 'release', release};
  }
  if (wire.progress) {
    const {cell, progress} = wire.progress;
    const decoded = progress.map(one => ({
      attempt: one.attempt as AttemptId,
      outputTokens: one.outputTokens,
    }));
    return {kind: 'progress', cell: cell as CellId, progress: decoded};
  }
  if (wire.inUse) {
    const permits = wire.inUse.permits as unknown as PermitInUse[];
    return {kind: 'in_use', cell: wire.inUse.cell as CellId, permits};
  }
  return decodeDecision(wire) ?? decodeShared(wire);
}

/** Decodes records that the owner of a cell sends. */
function decodeDecision(wire: WireRecordOutput): PeerRecord | undefined {
  if (wire.grant) {
    return {kind: 'grant', grant: wire.grant as unknown as PermitGrant};
  }
  if (wire.refuse) {
    return {kind: 'refuse', refusal: wire.refuse as unknown as PermitRefusal};
  }
  if (wire.allot) {
    const {cell, sequence, endpoints} = wire.allot;
    const allotment = {cell, sequence, endpoints};
    return {kind: 'allot', allotment} as unknown as PeerRecord;
  }
  return undefined;
}

/** Decodes records about configuration, crashes, usage, and extensions. */
function decodeShared(wire: WireRecordOutput): PeerRecord | undefined {
  if (wire.configuration) {
    return {
      kind: 'configuration',
      revision: wire.configuration.revision as Revision,
      payload: wire.configuration.payload,
    };
  }
  if (wire.configurationPull) {
    const {aboveRevision} = wire.configurationPull;
    return {
      kind: 'configuration_pull',
      aboveRevision: aboveRevision as Revision,
    };
  }
  if (wire.suspectRequest) {
    const {fingerprint, crashes, expiresInMs} = wire.suspectRequest;
    return {
      kind: 'suspect_request',
      suspect: {
        fingerprint: fingerprint as Fingerprint,
        crashes,
        expiresInMs,
      },
    };
  }
  if (wire.usageCopy) {
    return {
      kind: 'usage_copy',
      window: wire.usageCopy.window as UsageWindowId,
      json: wire.usageCopy.json,
    };
  }
  if (wire.extension) {
    const {name, json} = wire.extension;
    return {kind: 'extension', name, json};
  }
  return undefined;
}
