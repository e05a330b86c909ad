/** What the dump shows of a network; it holds no secret. */

import type {Incarnation, InstanceId} from '@snipestage/types/ids.js';
import type {Member} from '@snipestage/types/member.js';
import type {FrameCounter} from './frame_counter.js';
import type {LinkKeeper} from './link_keeper.js';
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
  /** Where others reach it. */
  readonly address: string;
  /** Where it listens. */
  readonly listenAddress: string;
  readonly members: readonly Member[];
  /** With whom a stream is kept open for heartbeats and gossip. */
  readonly neighbours: readonly InstanceId[];
  readonly links: readonly LinkSnapshot[];
  readonly framesSent: number;
  readonly framesReceived: number;
  /** Of protobuf, without what gRPC, HTTP/2 and TCP add. */
  readonly bytesSent: number;
  readonly bytesReceived: number;
  /** How often streams ended, by reason. */
  readonly linkEnds: {readonly [Reason in LinkEnd]?: number};
  readonly strangersRefused: number;
  readonly refutations: number;
  /** How long the process was frozen, in all. */
  readonly pausedMs: number;
}

/** What {@link describeNetwork} reads. */
export interface SnapshotSource {
  /** Where others reach it. */
  readonly address: string;
  /** Where it listens. */
  readonly listenAddress: string;
  readonly members: readonly Member[];
  readonly neighbours: readonly InstanceId[];
  readonly keeper: LinkKeeper;
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
  const {keeper, counter, nowMs, ...rest} = source;
  const links: LinkSnapshot[] = [];
  for (const {id, link} of keeper.contacts.values()) {
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
    linkEnds: {...keeper.ends},
  };
}
