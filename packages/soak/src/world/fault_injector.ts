/** Applies the faults of a plan to the world and ends them. */

import type {EndpointFault} from '@snipestage/platform_stand_ins/endpoint_stand_in.js';
import type {ServerFault} from '@snipestage/platform_stand_ins/faulty_server.js';
import type {EndpointAddress} from '@snipestage/routing/serving_endpoint.js';
import type {Link, LinkMode} from '@snipestage/stand_ins/link/link.js';
import {brandAs, type ServiceId} from '@snipestage/types/ids.js';
import {
  EVACUATE,
  FOREIGN_ROW,
  MASS_KILL,
  RATE_LIMIT,
  BACKOFF,
  CRASHING_PART,
  CRASHING_REQUEST,
  BRITTLE_SERVICE,
  EARLY_ANSWER,
  ENGINE_FLOOD,
  ENGINE_PAUSE,
  INSTANCE_CUT,
  LATE_STREAMS,
  ODD_STATUS,
  ONE_INSTANCE,
  STORE_SET_BACK,
  UNLISTED_LEAVING,
  VERSION_RELEASE,
  type FaultKind,
  type PlannedFault,
} from '../fault_plan.js';
import {areOthersFull} from '../answer_faults.js';
import {readForeignRow} from '../foreign_rows.js';
import type {Subject} from '../history.js';
import {chooseKilled} from '../mass_kills.js';
import {readInstanceCut} from '../instance_cuts.js';
import type {Endpoint} from './endpoint.js';
import type {Instance} from './instance.js';
import {ENGINES} from './operator.js';
import type {Traffic} from './traffic.js';
import type {World} from './world.js';

/** Ends a fault; undefined where it ends by itself. */
type Undo = (() => void) | undefined;

const ENDPOINT_FAULTS: {readonly [Kind in FaultKind]?: EndpointFault} = {
  endpoint_failing: 'failing',
  endpoint_silent: 'silent',
  endpoint_resetting: 'resetting',
  endpoint_truncating: 'truncating',
  endpoint_spoiling: 'spoiling',
  endpoint_full: 'full',
  engine_pause: 'pausing',
  engine_flood: 'flooding',
  odd_status: 'odd_status',
  early_answer: 'answering_early',
};
const STORE_FAULTS: {readonly [Kind in FaultKind]?: ServerFault} = {
  store_silent: 'silent',
  store_busy: 'busy',
  store_too_many: 'too_many',
  store_reset: 'reset',
  store_slow: 'slow',
  store_answers_lost: 'answers_lost',
  store_late: 'late',
};
const PROVIDER_FAULTS: {readonly [Kind in FaultKind]?: ServerFault} = {
  provider_silent: 'silent',
  provider_busy: 'busy',
};
const LINK_FAULT_MODES: {readonly [Kind in FaultKind]?: LinkMode} = {
  store_way_silent: 'silent_existing',
  store_way_cut: 'cut',
  store_way_one_way: 'drop_to_client',
  callers_way_cut: 'cut',
  callers_way_silent: 'silent_existing',
  endpoint_way_silent: 'silent_existing',
  endpoint_way_one_way: 'drop_to_client',
};
const SLOW_LINK_LATENCY_MS = 300;
const MAX_CLOCK_JUMP_MS = 8000;
const MIN_REJECTIONS_PER_S = 2;
/** Below the usual request rate of an endpoint. */
const RATE_LIMIT_PER_S = 1;
/** Longer than the `late` fault of the store delays writes. */
const LATE_WRITES_MS = 3000;
/** Time within which rows are written again after the store was set back. */
const REWRITE_WITHIN_MS = 1800;
/** Shortly before the silence of an engine is noticed. */
const OTHERS_FULL_AFTER_MS = 1900;
/** Endpoints with a fault at a time; the others have to take the load. */
const MAX_FAULTY_ENDPOINTS = 2;

/**
 * Holds at most one lasting fault of a part at a time and skips others.
 * What endpoints announce and evacuations don't count: they overlap with faults.
 */
export class FaultInjector {
  private readonly timers = new Set<NodeJS.Timeout>();
  private readonly undos = new Set<() => void>();
  private readonly faultyParts = new Set<object>();
  /** Whether instances have no links to endpoints; one cut at a time. */
  private isAnyCutOff = false;
  private releases = 0;
  /** Applied faults with their times, for the report. */
  readonly log: string[] = [];

  constructor(
    private readonly world: World,
    private readonly traffic: Traffic,
    private readonly startedAtMs: number,
  ) {}

  start(plan: readonly PlannedFault[]): void {
    for (const fault of plan) {
      this.timers.add(setTimeout(() => this.apply(fault), fault.atMs));
    }
  }

  /** Ends all faults in force and applies no more. */
  stop(): void {
    for (const timer of this.timers) clearTimeout(timer);
    for (const undo of this.undos) undo();
  }

  private apply(fault: PlannedFault): void {
    const {kind, target, durationMs} = fault;
    const {instances, endpoints, operator, store, provider} = this.world;
    if (kind === 'add_marker' || kind === 'withdraw_key') {
      this.logFault(kind, 'store');
      if (kind === 'add_marker') operator.addMarker();
      else operator.withdrawKey(target);
    } else if (kind === EVACUATE) {
      this.evacuate(fault);
    } else if (kind === RATE_LIMIT) {
      this.limitRate(fault, endpoints[target % endpoints.length]);
    } else if (kind === BACKOFF) {
      this.backOff(fault, endpoints[target % endpoints.length]);
    } else if (kind === STORE_SET_BACK) {
      this.setBackStore(fault);
    } else if (kind === BRITTLE_SERVICE) {
      this.makeBrittle(fault);
    } else if (kind === INSTANCE_CUT) {
      this.cutInstances(fault);
    } else if (kind === CRASHING_REQUEST) {
      this.logFault(kind, 'store', durationMs);
      this.endAfter(durationMs, this.traffic.repeatCrashing());
    } else if (kind === ONE_INSTANCE) {
      this.concentrate(fault);
    } else if (kind === CRASHING_PART) {
      this.logFault(kind, 'store', durationMs);
      this.endAfter(durationMs, this.traffic.sendCrashingPart());
    } else if (kind === VERSION_RELEASE) {
      this.release(fault);
    } else if (kind === MASS_KILL) {
      this.killMany(fault);
    } else if (kind === FOREIGN_ROW) {
      this.writeForeignRow(fault);
    } else if (kind === LATE_STREAMS) {
      this.logFault(kind, 'store', durationMs);
      this.endAfter(durationMs, this.traffic.sendLateStreams());
    } else if (kind === ENGINE_PAUSE || kind === ENGINE_FLOOD) {
      this.disturbEngine(fault);
    } else if (kind === EARLY_ANSWER) {
      this.answerUploads(fault);
    } else if (kind === ODD_STATUS) {
      this.applyEndpointFault(fault, endpoints[target % endpoints.length]);
    } else if (kind === UNLISTED_LEAVING) {
      this.replaceUnlisted(fault, endpoints[target % endpoints.length]);
    } else if (kind.startsWith('store_way') || kind.startsWith('callers_way')) {
      this.applyLinkFault(fault, instances[target % instances.length]);
    } else if (kind.startsWith('instance')) {
      this.applyInstanceFault(fault, instances[target % instances.length]);
    } else if (kind.startsWith('endpoint')) {
      this.applyEndpointFault(fault, endpoints[target % endpoints.length]);
    } else if (kind === 'store_history_gone') {
      store.tables.dropHistory();
      this.applyFor('store', kind, store, 0, () => undefined);
    } else if (kind in STORE_FAULTS) {
      this.applyFor('store', kind, store, durationMs, () => {
        store.fault = STORE_FAULTS[kind]!;
        return () => (store.fault = 'none');
      });
    } else {
      this.applyFor('provider', kind, provider, durationMs, () => {
        provider.fault = PROVIDER_FAULTS[kind]!;
        return () => (provider.fault = 'none');
      });
    }
  }

  /** Not a disturbance: an instance has to bear it. */
  private concentrate({kind, target, durationMs}: PlannedFault): void {
    const {history, nowMs} = this.world;
    this.logFault(kind, 'store', durationMs);
    const period = {fromMs: nowMs(), toMs: Number.POSITIVE_INFINITY};
    history.concentrations.push(period);
    const end = this.traffic.concentrate(target);
    this.endAfter(durationMs, () => {
      end();
      period.toMs = nowMs();
    });
  }

  /**
   * The store is away for the duration of the fault and comes back from a copy;
   * operators and endpoints write again what it lost. Overlaps with its other
   * faults.
   */
  private setBackStore({kind, target, durationMs}: PlannedFault): void {
    const {copies, store, operator, endpoints, history, nowMs} = this.world;
    this.logFault(kind, 'store', durationMs);
    const disturbance = history.recordDisturbance('store', kind, nowMs());
    store.beginAway();
    this.endAfter(durationMs, () => {
      copies.setBack(target);
      for (const writer of [operator, ...endpoints]) {
        setTimeout(() => writer.rewrite(), Math.random() * REWRITE_WITHIN_MS);
      }
      disturbance.toMs = nowMs() + REWRITE_WITHIN_MS;
    });
  }

  /** Not recorded as a disturbance: falls are, as endpoints crash. */
  private makeBrittle({kind, target, durationMs}: PlannedFault): void {
    const {endpoints, history, nowMs} = this.world;
    const {service} = endpoints[target % endpoints.length];
    const own = endpoints.filter(each => each.service === service);
    const maxRejectionsPerS = MIN_REJECTIONS_PER_S + (target % 3);
    if (this.isBrittle(service)) return;
    this.logFault(kind, `${service} ${maxRejectionsPerS}`, durationMs);
    const period = {
      service,
      endpoints: own.length,
      maxRejectionsPerS,
      fromMs: nowMs(),
      toMs: Number.POSITIVE_INFINITY,
    };
    history.brittlePeriods.push(period);
    for (const endpoint of own) endpoint.setBrittle(maxRejectionsPerS);
    this.endAfter(durationMs, () => {
      for (const endpoint of own) endpoint.setBrittle(undefined);
      period.toMs = nowMs();
    });
  }

  private isBrittle(service: ServiceId): boolean {
    const {history, nowMs} = this.world;
    return history.brittlePeriods.some(
      each => each.service === service && each.toMs > nowMs(),
    );
  }

  /** Not recorded as a disturbance: instances stay bound by all guarantees. */
  private cutInstances({kind, target, durationMs}: PlannedFault): void {
    const {instances, dataCentres, history, nowMs} = this.world;
    if (this.isAnyCutOff) return;
    this.isAnyCutOff = true;
    const places = dataCentres.map(dataCentre =>
      [...instances.keys()].filter(
        index => instances[index].dataCentre === dataCentre,
      ),
    );
    const cut = readInstanceCut(target, places);
    const affected = cut.instances.map(index => instances[index]);
    const ids = affected.map(({id}) => id);
    this.logFault(kind, `${cut.state} ${ids.join(' ')}`, durationMs);
    const record = {
      instances: ids,
      state: cut.state,
      fromMs: nowMs(),
      toMs: Number.POSITIVE_INFINITY,
    };
    history.instanceCuts.push(record);
    for (const instance of affected) instance.setEndpointLinks(cut.state);
    this.endAfter(durationMs, () => {
      for (const instance of affected) instance.setEndpointLinks('pass');
      record.toMs = nowMs();
      this.isAnyCutOff = false;
    });
  }

  /** Not recorded as a disturbance: all guarantees hold meanwhile. */
  private evacuate({kind, target, durationMs}: PlannedFault): void {
    const {dataCentres, operator} = this.world;
    const restore = operator.evacuate(dataCentres[target % dataCentres.length]);
    if (restore === undefined) return;
    this.logFault(kind, 'store', durationMs);
    this.endAfter(durationMs, restore);
  }

  /** Not recorded as a disturbance either. */
  private limitRate(
    {kind, durationMs}: PlannedFault,
    endpoint: Endpoint,
  ): void {
    this.logFault(kind, endpoint.id, durationMs);
    this.endAfter(durationMs, endpoint.limitRate(RATE_LIMIT_PER_S));
  }

  /** Not recorded as a disturbance, as callers may retry elsewhere. */
  private backOff({kind, durationMs}: PlannedFault, endpoint: Endpoint): void {
    this.logFault(kind, endpoint.id, durationMs);
    this.endAfter(durationMs, endpoint.backOff(durationMs));
  }

  /** Not recorded as a disturbance: planned work. */
  private release({kind, target, durationMs}: PlannedFault): void {
    this.releases += 1;
    const version = `v1.${this.releases}`;
    this.logFault(kind, version, durationMs);
    const engines = this.world.endpoints.filter(
      (each, index) => each.service === ENGINES && index % 2 === target,
    );
    for (const [index, engine] of engines.entries()) {
      const afterMs = (index * durationMs) / engines.length;
      const replace = () => {
        if (!this.faultyParts.has(engine)) void engine.replace(0, version);
      };
      this.timers.add(setTimeout(replace, afterMs));
    }
  }

  private killMany({kind, target}: PlannedFault): void {
    const {instances} = this.world;
    const killed = chooseKilled(instances.length, target);
    this.logFault(kind, `${killed.length} instances`);
    for (const index of killed) instances[index].kill();
  }

  /** Not a disturbance: a row that can't be used must not change anything. */
  private writeForeignRow({kind, target, durationMs}: PlannedFault): void {
    const {store, endpoints, history} = this.world;
    const {address} = endpoints[target % endpoints.length].link;
    const window = Math.floor(Date.now() / history.bounds.usageWindowMs);
    const {name, text, ...place} = readForeignRow(target, {
      address: brandAs<EndpointAddress>(address),
      window,
    });
    this.logFault(kind, name, durationMs);
    store.putText(place, text);
    this.endAfter(durationMs, () => store.remove(place));
  }

  private disturbEngine(fault: PlannedFault): void {
    const engines = this.world.endpoints.filter(
      ({service}) => service === ENGINES,
    );
    const engine = engines[fault.target % engines.length];
    this.applyEndpointFault(fault, engine);
    // Brittle engines would fall by being full, whatever instances do.
    const {durationMs} = fault;
    if (!areOthersFull(fault) || this.isBrittle(ENGINES)) return;
    if (durationMs <= OTHERS_FULL_AFTER_MS) return;
    // Instances that have met full engines for a while ask none of them.
    const fill = () => {
      for (const other of engines) {
        if (other !== engine) this.fillEngine(fault, other);
      }
    };
    this.timers.add(setTimeout(fill, OTHERS_FULL_AFTER_MS));
  }

  private fillEngine({kind, durationMs}: PlannedFault, engine: Endpoint): void {
    const leftMs = durationMs - OTHERS_FULL_AFTER_MS;
    this.applyFor(engine.id, kind, engine, leftMs, () => {
      engine.setFault('full');
      return () => engine.setFault('none');
    });
  }

  /** All other requests are answered as usual. */
  private answerUploads({kind, durationMs}: PlannedFault): void {
    for (const endpoint of this.world.endpoints) {
      if (endpoint.service === ENGINES) continue;
      this.applyFor(endpoint.id, kind, endpoint, durationMs, () => {
        endpoint.setFault(ENDPOINT_FAULTS[kind]!);
        return () => endpoint.setFault('none');
      });
    }
    this.endAfter(durationMs, this.traffic.sendUploads());
  }

  /** Only its answers say meanwhile that the endpoint leaves. */
  private replaceUnlisted(
    {kind, durationMs}: PlannedFault,
    endpoint: Endpoint,
  ): void {
    if (this.faultyParts.has(endpoint)) return;
    this.logFault(kind, endpoint.id, durationMs);
    void endpoint.replace(durationMs);
  }

  private endAfter(durationMs: number, undo: () => void): void {
    const end = () => {
      if (this.undos.delete(end)) undo();
    };
    this.undos.add(end);
    this.timers.add(setTimeout(end, durationMs));
  }

  private applyInstanceFault(fault: PlannedFault, instance: Instance): void {
    const {kind, durationMs, target} = fault;
    if (!instance.isUp) return;
    switch (kind) {
      case 'instance_kill':
        this.logFault(kind, instance.id);
        instance.kill();
        return;
      case 'instance_terminate':
        this.logFault(kind, instance.id);
        instance.terminate();
        return;
      case 'instance_reload':
        this.logFault(kind, instance.id);
        instance.reload();
        return;
      case 'instance_clock_jump': {
        const offsetMs = (target % 2 === 0 ? 1 : -1) * MAX_CLOCK_JUMP_MS;
        this.applyFor(instance.id, kind, instance, durationMs, () => {
          instance.setClockOffset(offsetMs * (target / 1000));
          return () => instance.setClockOffset(0);
        });
        return;
      }
      default:
        this.applyFor(instance.id, kind, instance, durationMs, () => {
          instance.freeze();
          return () => instance.thaw();
        });
    }
  }

  private applyLinkFault(fault: PlannedFault, instance: Instance): void {
    const way = fault.kind.startsWith('store_way')
      ? instance.storeLink
      : instance.callerLink;
    this.holdLinkFault(fault, instance.id, way);
  }

  private applyEndpointFault(fault: PlannedFault, endpoint: Endpoint): void {
    const {kind, durationMs} = fault;
    const faulty = this.world.endpoints.filter(each =>
      this.faultyParts.has(each),
    );
    if (faulty.length >= MAX_FAULTY_ENDPOINTS) return;
    const {id} = endpoint;
    if (kind === 'endpoint_replace') {
      if (this.faultyParts.has(endpoint)) return;
      this.logFault(kind, id);
      void endpoint.replace();
    } else if (kind === 'endpoint_kill') {
      this.applyFor(id, kind, endpoint, durationMs, () => {
        void endpoint.kill();
        return undefined;
      });
    } else if (kind in ENDPOINT_FAULTS) {
      this.applyFor(id, kind, endpoint, durationMs, () => {
        endpoint.setFault(ENDPOINT_FAULTS[kind]!);
        return () => endpoint.setFault('none');
      });
    } else {
      this.holdLinkFault(fault, id, endpoint.link, endpoint);
    }
  }

  private holdLinkFault(
    {kind, durationMs}: PlannedFault,
    subject: Subject,
    way: Link,
    part: object = way,
  ): void {
    this.applyFor(subject, kind, part, durationMs, () => {
      if (kind === 'store_way_slow') way.latencyMs = SLOW_LINK_LATENCY_MS;
      else void way.setMode(LINK_FAULT_MODES[kind]!);
      return () => {
        way.latencyMs = 0;
        void way.setMode('pass');
      };
    });
  }

  /**
   * Starts a fault, unless its part has one, and ends it after its duration.
   */
  private applyFor(
    subject: Subject,
    kind: FaultKind,
    part: object,
    durationMs: number,
    begin: () => Undo,
  ): void {
    if (this.faultyParts.has(part)) return;
    this.faultyParts.add(part);
    this.logFault(kind, subject, durationMs);
    const {history, nowMs} = this.world;
    const disturbance = history.recordDisturbance(subject, kind, nowMs());
    const undo = begin();
    const end = () => {
      this.undos.delete(end);
      undo?.();
      this.faultyParts.delete(part);
      const lateWritesMs = kind === 'store_late' ? LATE_WRITES_MS : 0;
      disturbance.toMs = nowMs() + lateWritesMs;
    };
    this.undos.add(end);
    this.timers.add(setTimeout(end, durationMs));
  }

  private logFault(kind: FaultKind, subject: string, durationMs = 0): void {
    const atMs = Math.round(this.world.nowMs() - this.startedAtMs);
    this.log.push(`${atMs} ms: ${kind} ${subject} for ${durationMs} ms`);
  }
}
