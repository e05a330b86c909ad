/** Does to the world what a plan says, and ends it again. */

import type {EndpointFault} from '@snipestage/platform_stand_ins/endpoint_stand_in.js';
import type {ServerFault} from '@snipestage/platform_stand_ins/faulty_server.js';
import type {Link, LinkMode} from '@snipestage/stand_ins/link/link.js';
import {
  EVACUATE,
  RATE_LIMIT,
  type FaultKind,
  type PlannedFault,
} from '../fault_plan.js';
import type {Subject} from '../history.js';
import type {Endpoint} from './endpoint.js';
import type {Instance} from './instance.js';
import type {World} from './world.js';

/** Ends a fault; absent where it ends by itself. */
type Undo = (() => void) | undefined;

const ENDPOINT_FAULTS: {readonly [Kind in FaultKind]?: EndpointFault} = {
  endpoint_failing: 'failing',
  endpoint_silent: 'silent',
  endpoint_resetting: 'resetting',
  endpoint_truncating: 'truncating',
  endpoint_spoiling: 'spoiling',
  endpoint_full: 'full',
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
const WAY_MODES: {readonly [Kind in FaultKind]?: LinkMode} = {
  store_way_silent: 'silent_existing',
  store_way_cut: 'cut',
  store_way_one_way: 'drop_to_client',
  callers_way_cut: 'cut',
  callers_way_silent: 'silent_existing',
  endpoint_way_silent: 'silent_existing',
  endpoint_way_one_way: 'drop_to_client',
};
const SLOW_WAY_MS = 300;
const LONGEST_CLOCK_JUMP_MS = 8000;
/** Less than the usual share of an endpoint. */
const RATE_LIMIT_PER_S = 1;
/** Writes of a store that does them late come so long after the fault. */
const LATE_WRITES_MS = 3000;
/** Endpoints with a fault at a time: the others have to carry the load. */
const MOST_FAULTY_ENDPOINTS = 2;

/** At most one fault of a part at a time; what overlaps is left out. */
export class FaultInjector {
  private readonly timers = new Set<NodeJS.Timeout>();
  private readonly undos = new Set<() => void>();
  private readonly busy = new Set<object>();
  /** What was done and when, for the report. */
  readonly log: string[] = [];

  constructor(
    private readonly world: World,
    private readonly startedAtMs: number,
  ) {}

  start(plan: readonly PlannedFault[]): void {
    for (const fault of plan) {
      this.timers.add(setTimeout(() => this.apply(fault), fault.atMs));
    }
  }

  /** Ends everything that still goes on. */
  stop(): void {
    for (const timer of this.timers) clearTimeout(timer);
    for (const undo of this.undos) undo();
  }

  private apply(fault: PlannedFault): void {
    const {kind, target, forMs} = fault;
    const {instances, endpoints, operator, store, provider} = this.world;
    if (kind === 'add_marker' || kind === 'withdraw_key') {
      this.note(kind, 'store');
      if (kind === 'add_marker') operator.addMarker();
      else operator.withdrawKey(target);
    } else if (kind === EVACUATE) {
      this.evacuate(fault);
    } else if (kind === RATE_LIMIT) {
      this.limitRate(fault, endpoints[target % endpoints.length]);
    } else if (kind.startsWith('store_way') || kind.startsWith('callers_way')) {
      this.disturbWay(fault, instances[target % instances.length]);
    } else if (kind.startsWith('instance')) {
      this.disturbInstance(fault, instances[target % instances.length]);
    } else if (kind.startsWith('endpoint')) {
      this.disturbEndpoint(fault, endpoints[target % endpoints.length]);
    } else if (kind === 'store_history_gone') {
      store.tables.dropHistory();
      this.hold('store', kind, store, 0, () => undefined);
    } else if (kind in STORE_FAULTS) {
      this.hold('store', kind, store, forMs, () => {
        store.fault = STORE_FAULTS[kind]!;
        return () => (store.fault = 'none');
      });
    } else {
      this.hold('provider', kind, provider, forMs, () => {
        provider.fault = PROVIDER_FAULTS[kind]!;
        return () => (provider.fault = 'none');
      });
    }
  }

  /** No disturbance: all promises hold meanwhile. */
  private evacuate({kind, target, forMs}: PlannedFault): void {
    const {dataCentres, operator} = this.world;
    const restore = operator.evacuate(dataCentres[target % dataCentres.length]);
    if (restore === undefined) return;
    this.note(kind, 'store', forMs);
    this.endAfter(forMs, restore);
  }

  /** No disturbance either. */
  private limitRate({kind, forMs}: PlannedFault, endpoint: Endpoint): void {
    this.note(kind, endpoint.id, forMs);
    this.endAfter(forMs, endpoint.limitRate(RATE_LIMIT_PER_S));
  }

  private endAfter(forMs: number, undo: () => void): void {
    const end = () => {
      if (this.undos.delete(end)) undo();
    };
    this.undos.add(end);
    this.timers.add(setTimeout(end, forMs));
  }

  private disturbInstance(fault: PlannedFault, instance: Instance): void {
    const {kind, forMs, target} = fault;
    if (!instance.isUp) return;
    switch (kind) {
      case 'instance_kill':
        this.note(kind, instance.id);
        instance.kill();
        return;
      case 'instance_terminate':
        this.note(kind, instance.id);
        instance.terminate();
        return;
      case 'instance_reload':
        this.note(kind, instance.id);
        instance.reload();
        return;
      case 'instance_clock_jump': {
        const offsetMs = (target % 2 === 0 ? 1 : -1) * LONGEST_CLOCK_JUMP_MS;
        this.hold(instance.id, kind, instance, forMs, () => {
          instance.setClockOffset(offsetMs * (target / 1000));
          return () => instance.setClockOffset(0);
        });
        return;
      }
      default:
        this.hold(instance.id, kind, instance, forMs, () => {
          instance.freeze();
          return () => instance.thaw();
        });
    }
  }

  private disturbWay(fault: PlannedFault, instance: Instance): void {
    const way = fault.kind.startsWith('store_way')
      ? instance.storeWay
      : instance.callersWay;
    this.holdWay(fault, instance.id, way);
  }

  private disturbEndpoint(fault: PlannedFault, endpoint: Endpoint): void {
    const {kind, forMs} = fault;
    const faulty = this.world.endpoints.filter(each => this.busy.has(each));
    if (faulty.length >= MOST_FAULTY_ENDPOINTS) return;
    const {id} = endpoint;
    if (kind === 'endpoint_replace') {
      if (this.busy.has(endpoint)) return;
      this.note(kind, id);
      void endpoint.replace();
    } else if (kind === 'endpoint_kill') {
      this.hold(id, kind, endpoint, forMs, () => {
        void endpoint.kill();
        return undefined;
      });
    } else if (kind in ENDPOINT_FAULTS) {
      this.hold(id, kind, endpoint, forMs, () => {
        endpoint.setFault(ENDPOINT_FAULTS[kind]!);
        return () => endpoint.setFault('none');
      });
    } else {
      this.holdWay(fault, id, endpoint.link, endpoint);
    }
  }

  private holdWay(
    {kind, forMs}: PlannedFault,
    subject: Subject,
    way: Link,
    part: object = way,
  ): void {
    this.hold(subject, kind, part, forMs, () => {
      if (kind === 'store_way_slow') way.latencyMs = SLOW_WAY_MS;
      else void way.setMode(WAY_MODES[kind]!);
      return () => {
        way.latencyMs = 0;
        void way.setMode('pass');
      };
    });
  }

  /** Begins a fault, unless its part has one, and ends it after its time. */
  private hold(
    subject: Subject,
    kind: FaultKind,
    part: object,
    forMs: number,
    begin: () => Undo,
  ): void {
    if (this.busy.has(part)) return;
    this.busy.add(part);
    this.note(kind, subject, forMs);
    const {history, nowMs} = this.world;
    const disturbance = history.disturb(subject, kind, nowMs());
    const undo = begin();
    const end = () => {
      this.undos.delete(end);
      undo?.();
      this.busy.delete(part);
      const lingersMs = kind === 'store_late' ? LATE_WRITES_MS : 0;
      disturbance.toMs = nowMs() + lingersMs;
    };
    this.undos.add(end);
    this.timers.add(setTimeout(end, forMs));
  }

  private note(kind: FaultKind, subject: Subject, forMs = 0): void {
    const atMs = Math.round(this.world.nowMs() - this.startedAtMs);
    this.log.push(`${atMs} ms: ${kind} ${subject} for ${forMs} ms`);
  }
}
