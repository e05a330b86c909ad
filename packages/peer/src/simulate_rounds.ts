/**
 * Runs many {@link Membership}s in one process without sockets, tick by tick,
 * to count frames and bytes at sizes that one machine can't run, and to
 * reproduce network cuts exactly. Streams open at once and frames arrive one
 * tick later.
 */

import type {
  DataCentreId,
  Incarnation,
  InstanceId,
  Revision,
} from '@snipestage/types/ids.js';
import type {Member} from '@snipestage/types/member.js';
import {encodeFrame} from './frame_codec.js';
import {Membership} from './membership.js';
import {findNeighbours} from './overlay.js';
import {PeerService} from './peer_service.js';

const TICK_MS = 50;
const HEARTBEAT_MS = 500;
const SUSPECT_AFTER_MS = 2000;
const DEAD_AFTER_MS = 5000;
const INTERVALS_PER_HEARTBEAT = 2;
const SILENT_AFTER_MS = 3.5 * HEARTBEAT_MS;
const FIRST_PORT = 20_000;

/** Options of {@link SimulatedNetworks}. */
export interface SimulationOptions {
  readonly dataCentres: number;
  readonly instancesPerDataCentre: number;
  /** Whether frames are delivered; default: always. */
  readonly canPass?: (
    from: InstanceId,
    to: InstanceId,
    nowMs: number,
  ) => boolean;
}

/** One simulated instance. */
export class SimulatedNode {
  isRunning = true;
  framesSent = 0;
  bytesSent = 0;
  neighbours: readonly InstanceId[] = [];
  /** By neighbour, when the last frame was sent and received. */
  readonly streams = new Map<
    InstanceId,
    {sentMs: number; lastHeardMs: number}
  >();

  constructor(readonly membership: Membership) {}

  get id(): InstanceId {
    return this.membership.self.id;
  }
}

interface FrameInTransit {
  readonly from: SimulatedNode;
  readonly to: InstanceId;
  readonly members: readonly Member[];
}

/**
 * @example
 * const networks = new SimulatedNetworks({dataCentres: 6, ...});
 * networks.run(60_000);
 */
export class SimulatedNetworks {
  readonly nodes = new Map<InstanceId, SimulatedNode>();
  nowMs = 0;
  private readonly canPass: NonNullable<SimulationOptions['canPass']>;
  private framesInTransit: FrameInTransit[] = [];

  constructor(options: SimulationOptions) {
    this.canPass = options.canPass ?? (() => true);
    for (let dc = 0; dc < options.dataCentres; dc += 1) {
      for (let n = 0; n < options.instancesPerDataCentre; n += 1) {
        this.add(dc, n);
      }
    }
    const everyone = [...this.nodes.values()].map(one => one.membership.self);
    for (const node of this.nodes.values()) {
      node.membership.merge(everyone, node.id, 0);
      this.chooseNeighbours(node);
    }
  }

  /** Adds an instance, which knows no other until it is connected to one. */
  add(dataCentre: number, place: number): SimulatedNode {
    const id = `dc${dataCentre}-entry-${place}` as InstanceId;
    const port = FIRST_PORT + this.nodes.size;
    const self: Member = {
      id,
      incarnation: `${port}`.padStart(16, '0') as Incarnation,
      dataCentre: `dc${dataCentre}` as DataCentreId,
      peerAddress: `10.100.100.100:${port}`,
      state: 'alive',
      heartbeat: 1_700_000_000_000,
      revision: 1000 as Revision,
    };
    const node = new SimulatedNode(
      new Membership({
        self,
        suspectAfterMs: SUSPECT_AFTER_MS,
        deadAfterMs: DEAD_AFTER_MS,
      }),
    );
    this.nodes.set(id, node);
    return node;
  }

  /**
   * Opens a stream between two instances, whether or not they are neighbours.
   */
  connect(a: SimulatedNode, b: SimulatedNode): void {
    for (const [from, to] of [
      [a, b],
      [b, a],
    ]) {
      from.streams.set(to.id, {sentMs: -Infinity, lastHeardMs: this.nowMs});
      const {self} = to.membership;
      const knownMembers = to.membership.others().length + 1;
      from.membership.openStream({...self, knownMembers}, this.nowMs);
    }
  }

  run(durationMs: number): void {
    const endMs = this.nowMs + durationMs;
    while (this.nowMs < endMs) this.step();
  }

  /**
   * Runs until the condition holds or `maxMs` have passed; returns the time
   * run.
   */
  runUntil(holds: () => boolean, maxMs: number): number {
    const startMs = this.nowMs;
    while (!holds() && this.nowMs - startMs < maxMs) this.step();
    return this.nowMs - startMs;
  }

  /** The states in which the other running nodes have one instance. */
  statesOf(subject: InstanceId): Set<Member['state'] | undefined> {
    const states = new Set<Member['state'] | undefined>();
    for (const node of this.nodes.values()) {
      if (!node.isRunning || node.id === subject) continue;
      states.add(node.membership.get(subject)?.state);
    }
    return states;
  }

  private step(): void {
    const isIntervalStart = this.nowMs % HEARTBEAT_MS === 0;
    const running = [...this.nodes.values()].filter(node => node.isRunning);
    if (isIntervalStart)
      for (const node of running) this.runHeartbeatInterval(node);
    for (const node of running) this.sendDue(node, isIntervalStart);
    this.nowMs += TICK_MS;
    const arrived = this.framesInTransit;
    this.framesInTransit = [];
    for (const frame of arrived) this.deliver(frame);
  }

  private runHeartbeatInterval(node: SimulatedNode): void {
    for (const [id, stream] of node.streams) {
      const isSilent = this.nowMs - stream.lastHeardMs > SILENT_AFTER_MS;
      if (isSilent) this.close(node, id);
    }
    const watched = new Set([...node.neighbours, ...node.streams.keys()]);
    node.membership.tick(this.nowMs, watched, new Set());
    if (node.membership.takeChanges().length > 0) this.chooseNeighbours(node);
    for (const id of node.neighbours) {
      const other = this.nodes.get(id)!;
      if (node.streams.has(id) || !other.isRunning) continue;
      const canPass =
        this.canPass(node.id, id, this.nowMs) &&
        this.canPass(id, node.id, this.nowMs);
      if (canPass) this.connect(node, other);
    }
  }

  private close(node: SimulatedNode, id: InstanceId): void {
    node.streams.delete(id);
    node.membership.closeStream(id);
    const other = this.nodes.get(id)!;
    other.streams.delete(node.id);
    other.membership.closeStream(node.id);
  }

  private chooseNeighbours(node: SimulatedNode): void {
    const {membership} = node;
    node.neighbours = findNeighbours(membership.self, membership.others());
  }

  private sendDue(node: SimulatedNode, isIntervalStart: boolean): void {
    for (const [id, stream] of node.streams) {
      const silentMs = this.nowMs - stream.sentMs;
      const isDue = silentMs >= HEARTBEAT_MS * INTERVALS_PER_HEARTBEAT;
      const isHeartbeat = isIntervalStart && isDue;
      if (!isHeartbeat && !node.membership.hasUrgentUpdates(id)) continue;
      const members = node.membership.takeUpdates(id, isHeartbeat);
      const {revision} = node.membership.self;
      const frame = encodeFrame({revision, members, records: []});
      const {Exchange: exchange} = PeerService.service;
      node.framesSent += 1;
      node.bytesSent += exchange.requestSerialize(frame).length;
      stream.sentMs = this.nowMs;
      this.framesInTransit.push({from: node, to: id, members});
    }
  }

  private deliver({from, to, members}: FrameInTransit): void {
    const node = this.nodes.get(to)!;
    if (!node.isRunning || !this.canPass(from.id, to, this.nowMs)) return;
    const stream = node.streams.get(from.id);
    if (stream === undefined) return;
    stream.lastHeardMs = this.nowMs;
    const {self} = from.membership;
    node.membership.noteFrame(self, self.revision, this.nowMs);
    node.membership.merge(members, from.id, this.nowMs);
  }
}
