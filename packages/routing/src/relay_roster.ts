/** Which instances follow the platform's store for others, and who should. */

import {hashText} from '@snipestage/policy/rendezvous.js';
import type {DataCentreId, InstanceId} from '@snipestage/types/ids.js';

/** A slot for a relay, and who has taken it. */
export interface RelaySlot {
  readonly dataCentre: DataCentreId;
  readonly number: number;
  readonly holder: RelayHolder | undefined;
  /** The store's version of the row; 0 while there is none. */
  readonly version: number;
}

/** Who relays, and where others reach it: `<IP number>:<port>`. */
export interface RelayHolder {
  readonly instance: InstanceId;
  readonly address: string;
}

/** What a {@link RelayRoster} is made from; defaults in the brackets. */
export interface RelayRosterOptions {
  readonly instance: InstanceId;
  readonly dataCentre: DataCentreId;
  readonly dataCentres: number;
  /** 0 to 1: how well this instance's machine can serve others. */
  readonly strength: number;
  /** Relays in each data centre (2): one may be killed, cut off or busy. */
  readonly slots?: number;
  /** Instances for each relay before it pays to have one (3). */
  readonly minFollowers?: number;
  /** How long a relay that failed is left alone (6,000 ms). */
  readonly suspectForMs?: number;
}

const DEFAULT_SLOTS = 2;
const DEFAULT_MIN_FOLLOWERS = 3;
const DEFAULT_SUSPECT_FOR_MS = 6000;
/**
 * Candidates for a slot come one after the other over this time, so that mostly
 * one writes and the others see it: each write is a priced call.
 */
const CLAIM_SPREAD_MS = 3000;
/**
 * Share of that time by which strong machines come first: a relay sends each
 * configuration, tens of kilobytes, to a dozen others, which takes a link of
 * 7 Mbit/s a second.
 */
const STRENGTH_SHARE = 0.7;
const HASH_RANGE = 2 ** 32;

/**
 * Each instance that follows the store asks it again after each change. Where
 * dozens do, it is cheaper that two in each data centre poll and publish to the others.
 * Sixty-seven instances made 8,000 calls in 95 s by themselves.
 */
export class RelayRoster {
  private readonly slots = new Map<number, RelaySlot>();
  private readonly suspectedAtMs = new Map<InstanceId, number>();
  private readonly minFollowers: number;
  /** The slot that could be claimed, and since when. */
  private open:
    {readonly slot: RelaySlot; readonly sinceMs: number} | undefined;

  constructor(private readonly options: RelayRosterOptions) {
    this.minFollowers = options.minFollowers ?? DEFAULT_MIN_FOLLOWERS;
    const count = options.slots ?? DEFAULT_SLOTS;
    for (let number = 0; number < count; number += 1) {
      this.slots.set(number, this.vacant(number, 0));
    }
  }

  /**
   * Whether there are enough instances for relays.
   *
   * @param instances undefined until they were counted.
   */
  pays(instances: number | undefined): boolean {
    return instances !== undefined && instances >= this.paysFrom;
  }

  /** The number of instances from which relays pay. */
  get paysFrom(): number {
    return this.slots.size * this.minFollowers * this.options.dataCentres;
  }

  /** Whether a relay with so many followers saves more polls than it makes. */
  isWorthwhile(followers: number): boolean {
    return followers >= this.minFollowers;
  }

  /** Takes in a slot as the store has it; slots elsewhere don't matter. */
  learn(slot: RelaySlot): void {
    if (slot.dataCentre !== this.options.dataCentre) return;
    const known = this.slots.get(slot.number);
    if (known === undefined || known.version >= slot.version) return;
    this.slots.set(slot.number, slot);
  }

  /** Whether this instance has a slot. */
  get isRelay(): boolean {
    return this.ownSlot !== undefined;
  }

  get ownSlot(): RelaySlot | undefined {
    return [...this.slots.values()].find(
      ({holder}) => holder?.instance === this.options.instance,
    );
  }

  /** A relay could not be reached, or has gone silent. */
  noteFailed(relay: InstanceId, nowMs: number): void {
    this.suspectedAtMs.set(relay, nowMs);
  }

  /**
   * The relay to follow: the first that is sound, so that the others need not
   * ask the store for anybody.
   *
   * @returns undefined when there is none that is sound.
   */
  choose(nowMs: number): RelayHolder | undefined {
    return [...this.slots.values()]
      .map(({holder}) => holder)
      .filter(holder => holder !== undefined)
      .find(({instance}) => !this.isSuspected(instance, nowMs));
  }

  /**
   * A slot that this instance should take now: a vacant one, or any when
   * no relay has been sound for a while.
   *
   * @param onlyFirst whether to consider only the first slot.
   */
  slotToClaim(nowMs: number, onlyFirst = false): RelaySlot | undefined {
    const open = this.isRelay ? undefined : this.findOpenSlot(nowMs);
    const slot = onlyFirst && open?.number !== 0 ? undefined : open;
    if (slot === undefined) {
      this.open = undefined;
      return undefined;
    }
    if (this.open?.slot !== slot) this.open = {slot, sinceMs: nowMs};
    if (nowMs - this.open.sinceMs < this.turnMs(slot)) return undefined;
    this.open = undefined;
    return slot;
  }

  private findOpenSlot(nowMs: number): RelaySlot | undefined {
    const slots = [...this.slots.values()];
    const vacant = slots.find(({holder}) => holder === undefined);
    const isServed = this.choose(nowMs) !== undefined;
    return vacant ?? (isServed ? undefined : slots[0]);
  }

  private turnMs(slot: RelaySlot): number {
    const hash = hashText(`${slot.number}/${this.options.instance}`);
    const weakness = 1 - this.options.strength;
    const share =
      STRENGTH_SHARE * weakness + (1 - STRENGTH_SHARE) * (hash / HASH_RANGE);
    return share * CLAIM_SPREAD_MS;
  }

  private isSuspected(instance: InstanceId, nowMs: number): boolean {
    const atMs = this.suspectedAtMs.get(instance) ?? Number.NEGATIVE_INFINITY;
    const forMs = this.options.suspectForMs ?? DEFAULT_SUSPECT_FOR_MS;
    return nowMs - atMs < forMs;
  }

  private vacant(number: number, version: number): RelaySlot {
    const {dataCentre} = this.options;
    return {dataCentre, number, holder: undefined, version};
  }
}
