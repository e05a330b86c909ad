/** State of a network for the operator's dump; it holds no secret. */

import type {Incarnation, InstanceId} from '@snipestage/types/ids.js';
import type {Member} from '@snipestage/types/member.js';
import type {FrameCounter} from './frame_counter.js';
import type {LinkManager} from './link_manager.js';
import type {LinkEnd} from './peer_link.js';

export interface LinkSnapshot {
  readonly peer: InstanceId;
  readonly incarnation?: Incarnation;
  readonly isDialled: boolean;
  readonly heardAgoMs: number;
  readonly framesSent: number;
  readonly framesReceived: number;
}

export interface NetworkSnapshot {
  /** Address at which other instances reach it. */
  readonly address: string;
  /** Address on which it listens. */
  readonly listenAddress: string;
  readonly members: readonly Member[];
  /** Instances to which a stream is kept open for heartbeats and gossip. */
  readonly neighbours: readonly InstanceId[];
  readonly links: readonly LinkSnapshot[];
  readonly framesSent: number;
  readonly framesReceived: number;
  /** Of protobuf, without the overhead of gRPC, HTTP/2 and TCP. */
  readonly bytesSent: number;
  readonly bytesReceived: number;
  /** Number of ended streams by reason. */
  readonly linkEnds: {readonly [Reason in LinkEnd]?: number};
  readonly strangersRefused: number;
  readonly refutations: number;
  /** Total time during which the process was frozen. */
  readonly pausedMs: number;
}

/** Input of {@link describeNetwork}. */
export interface SnapshotSource {
  /** Address at which other instances reach it. */
  readonly address: string;
  /** Address on which it listens. */
  readonly listenAddress: string;
  readonly members: readonly Member[];
  readonly neighbours: readonly InstanceId[];
  readonly linkManager: LinkManager;
  readonly counter: FrameCounter;
  readonly nowMs: number;
  readonly strangersRefused: number;
  readonly refutations: number;
  readonly pausedMs: number;
}

/**
 * @example
 * const {framesSent, bytesSent} = network.snapshot();
 */
export function describeNetwork(source: SnapshotSource): NetworkSnapshot {
  const {linkManager, counter, nowMs, ...rest} = source;
  const links: LinkSnapshot[] = [];
  for (const {id, link} of linkManager.contacts.values()) {
    if (link === undefined) continue;
    links.push({
      peer: id,
      incarnation: link.peer?.incarnation,
      isDialled: link.isDialled,
      heardAgoMs: Math.round(nowMs - link.lastHeardMs),
      framesSent: link.framesSent,
      framesReceived: link.framesReceived,
    });
  }
  return {
    ...rest,
    links,
    framesSent: counter.framesSent,
    framesReceived: counter.framesReceived,
    bytesSent: counter.bytesSent,
    bytesReceived: counter.bytesReceived,
    linkEnds: {...linkManager.endCounts},
  };
}
