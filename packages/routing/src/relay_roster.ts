/** Tracks which instances relay changes of the platform's store to others. */

import {ABSENT, type StoreVersion} from '@snipestage/types/store_version.js';
import {hashText} from '@snipestage/policy/rendezvous.js';
import type {DataCentreId, InstanceId} from '@snipestage/types/ids.js';

/** A slot for a relay, and its holder. */
export interface RelaySlot {
  readonly dataCentre: DataCentreId;
  readonly number: number;
  readonly holder: RelayHolder | undefined;
  /** The store's version of the row; 0 while there is none. */
  readonly version: StoreVersion;
}

/** A relay, and the address at which others reach it: `<IP address>:<port>`. */
export interface RelayHolder {
  readonly instance: InstanceId;
  readonly address: string;
}

/** Options of {@link RelayRoster}; defaults in brackets. */
export interface RelayRosterOptions {
  readonly instance: InstanceId;
  readonly dataCentre: DataCentreId;
  readonly dataCentres: number;
  /** 0 to 1: suitability of this instance's machine for relaying. */
  readonly strength: number;
  /** Relays in each data centre (2): one may be killed, cut off or busy. */
  readonly slots?: number;
  /** Instances for each relay from which relaying saves calls (3). */
  readonly minFollowers?: number;
  /** How long a relay that failed is not followed (6,000 ms). */
  readonly suspectForMs?: number;
}

const DEFAULT_SLOT_COUNT = 2;
const DEFAULT_MIN_FOLLOWERS = 3;
const DEFAULT_SUSPECT_FOR_MS = 6000;
/**
 * Candidates claim a slot one after the other over this time, so that usually
 * one writes and the others see it: each write is a priced call.
 */
const CLAIM_SPREAD_MS = 3000;
/**
 * Share of that time that depends on the machine's strength, so that strong
 * ones come first: a relay sends each configuration, tens of kilobytes, to a
 * dozen others, which takes a link of 7 Mbit/s a second.
 */
const STRENGTH_SHARE = 0.7;
const HASH_RANGE = 2 ** 32;

/**
 * Each instance that follows the store polls it again after each change. With
 * dozens of instances it is cheaper if two in each data centre poll it and
 * publish to the others. Without relays 67 instances made 8,000 calls in 95 s.
 */
export class RelayRoster {
  private readonly slots = new Map<number, RelaySlot>();
  private readonly suspectedAtMs = new Map<InstanceId, number>();
  private readonly minFollowers: number;
  /** The slot that may be claimed, and since when. */
  private open:
    {readonly slot: RelaySlot; readonly sinceMs: number} | undefined;

  constructor(private readonly options: RelayRosterOptions) {
    this.minFollowers = options.minFollowers ?? DEFAULT_MIN_FOLLOWERS;
    const count = options.slots ?? DEFAULT_SLOT_COUNT;
    for (let number = 0; number < count; number += 1) {
      this.slots.set(number, this.vacant(number, ABSENT));
    }
  }

  /**
   * Whether there are enough instances for relays to save calls.
   *
   * @param instances undefined until they have been counted.
   */
  areRelaysWorthwhile(instances: number | undefined): boolean {
    return instances !== undefined && instances >= this.minInstancesForRelays;
  }

  /** The number of instances from which relays save calls. */
  get minInstancesForRelays(): number {
    return this.slots.size * this.minFollowers * this.options.dataCentres;
  }

  /** Whether a relay with so many followers saves more polls than it makes. */
  hasEnoughFollowers(followers: number): boolean {
    return followers >= this.minFollowers;
  }

  /** Records a slot as read from the store; ignores other data centres. */
  learn(slot: RelaySlot): void {
    if (slot.dataCentre !== this.options.dataCentre) return;
    const known = this.slots.get(slot.number);
    if (known === undefined || known.version >= slot.version) return;
    this.slots.set(slot.number, slot);
  }

  /**
   * The store was set back: holders stay, but the rows may be missing. What the
   * store still has is learned afterwards.
   */
  noteSetBack(): void {
    for (const [number, slot] of this.slots) {
      this.slots.set(number, {...slot, version: ABSENT});
    }
  }

  /** This instance's slot, if its row is missing since the store was set back. */
  get slotToClaimAgain(): RelaySlot | undefined {
    const own = this.ownSlot;
    return own?.version === ABSENT ? own : undefined;
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

  /** A relay could not be reached, or stopped sending. */
  noteFailed(relay: InstanceId, nowMs: number): void {
    this.suspectedAtMs.set(relay, nowMs);
  }

  /**
   * The relay to follow: the first that hasn't failed recently, so that the
   * other relays need not poll the store for followers.
   *
   * @returns undefined when there is none.
   */
  choose(nowMs: number): RelayHolder | undefined {
    return [...this.slots.values()]
      .map(({holder}) => holder)
      .filter(holder => holder !== undefined)
      .find(({instance}) => !this.isSuspected(instance, nowMs));
  }

  /**
   * A slot that this instance should claim now: a vacant one, or the first when
   * all relays have failed recently.
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
    if (nowMs - this.open.sinceMs < this.claimDelayMs(slot)) return undefined;
    this.open = undefined;
    return slot;
  }

  private findOpenSlot(nowMs: number): RelaySlot | undefined {
    const slots = [...this.slots.values()];
    const vacant = slots.find(({holder}) => holder === undefined);
    const isServed = this.choose(nowMs) !== undefined;
    return vacant ?? (isServed ? undefined : slots[0]);
  }

  private claimDelayMs(slot: RelaySlot): number {
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

  private vacant(number: number, version: StoreVersion): RelaySlot {
    const {dataCentre} = this.options;
    return {dataCentre, number, holder: undefined, version};
  }
}
