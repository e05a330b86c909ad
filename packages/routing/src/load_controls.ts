/** Knows for which services the controls for scarce or uneven capacity are on. */

import type {ServiceId} from '@snipestage/types/ids.js';

/** Options of {@link LoadControls}; default in brackets. */
export interface LoadControlsOptions {
  /** Whether callers compete for scarce capacity, by the settings (false). */
  readonly isCapacityScarce?: boolean;
  /**
   * Whether requests are placed and refused by tokens and shares as well
   * (false). It takes several times the processor time of a placement.
   */
  readonly accountsForRoom?: boolean;
}

/**
 * The controls are on for all services of a deployment whose settings say that
 * capacity is scarce, and for a service whose endpoints state that they share
 * their machines with others. Other services are served without them.
 */
export class LoadControls {
  private readonly sharing = new Set<ServiceId>();
  private readonly isCapacityScarce: boolean;

  constructor(options: LoadControlsOptions = {}) {
    this.isCapacityScarce = options.isCapacityScarce ?? false;
  }

  /** An endpoint of the service stated how long work takes on its machine. */
  noteSharedMachine(service: ServiceId): void {
    this.sharing.add(service);
  }

  /**
   * @example
   * if (controls.isOn(route.service)) shedders.decide(arrival);
   */
  isOn(service: ServiceId): boolean {
    return this.isCapacityScarce || this.sharing.has(service);
  }
}
