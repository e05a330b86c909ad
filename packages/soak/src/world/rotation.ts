/** Instances that the balancer has in rotation. */

import type {DataCentreId} from '@snipestage/types/ids.js';
import {listCandidates} from '../balancer_rule.js';
import type {Instance} from './instance.js';

const PROBE_EVERY_MS = 1000;
/** Failed probes in a row after which an instance is out of rotation. */
const MISSES_UNTIL_OUT = 2;

/** Probes the readiness of all instances every second. */
export class Rotation {
  private timer: NodeJS.Timeout | undefined;
  private readonly misses = new Map<Instance, number>();
  /** Ordered as a ring: the nearest to each is the next one. */
  private readonly dataCentres: readonly DataCentreId[];

  constructor(private readonly instances: readonly Instance[]) {
    const names = instances.map(({dataCentre}) => dataCentre);
    this.dataCentres = [...new Set(names)];
  }

  start(): void {
    this.timer = setInterval(() => void this.probeAll(), PROBE_EVERY_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Instances to which a caller's new connection may go. */
  candidatesFor(callerIndex: number): readonly Instance[] {
    const home = callerIndex % this.dataCentres.length;
    const candidates = listCandidates({
      instances: this.instances.map(instance => ({
        instance,
        dataCentre: instance.dataCentre,
        isInRotation: (this.misses.get(instance) ?? 0) < MISSES_UNTIL_OUT,
      })),
      dataCentres: [
        ...this.dataCentres.slice(home),
        ...this.dataCentres.slice(0, home),
      ],
    });
    return candidates.map(({instance}) => instance);
  }

  /**
   * An instance is out after two failed probes, and in after the next good one.
   */
  private async probeAll(): Promise<void> {
    await Promise.all(
      this.instances.map(async instance => {
        const isReady = await instance.isReady();
        const misses = this.misses.get(instance) ?? 0;
        this.misses.set(instance, isReady ? 0 : misses + 1);
      }),
    );
  }
}
